import type { FieldRenamings } from './fieldRenamings.js';
import { isFields } from '../schema/isFields.js';

/**
 * Renames fields of a value that an older version wrote. What the table does not name stays as it is, so a value of the newer
 * format comes out unchanged. A field whose new name is taken already keeps its old one: the schema then reports it by name.
 */
export function renameFields(value: unknown, renamings: FieldRenamings): unknown {
  if (Array.isArray(value)) return value.map((element) => renameFields(element, renamings));
  if (!isFields(value) || ArrayBuffer.isView(value)) return value;
  const renamed = new Map<string, unknown>();
  for (const [field, content] of Object.entries(value)) {
    const renaming = renamingOf(renamings, field);
    const name = renaming.to !== undefined && value[renaming.to] === undefined ? renaming.to : field;
    renamed.set(name, renameContent(content, renaming));
  }
  return Object.fromEntries(renamed);
}

function renamingOf(renamings: FieldRenamings, field: string): Exclude<FieldRenamings[string], string> {
  const renaming = Object.hasOwn(renamings, field) ? renamings[field] : undefined;
  return typeof renaming === 'string' ? { to: renaming } : (renaming ?? {});
}

function renameContent(content: unknown, { fields, record, values }: Exclude<FieldRenamings[string], string>): unknown {
  if (typeof content === 'string') return values !== undefined && Object.hasOwn(values, content) ? values[content] : content;
  if (fields === undefined) return content;
  if (record !== true || !isFields(content)) return renameFields(content, fields);
  return Object.fromEntries(Object.entries(content).map(([key, element]) => [key, renameFields(element, fields)]));
}
