import type { FieldRenamings } from './fieldRenamings.js';
import { isFields } from '../schema/index.js';

/**
 * Renames the fields of a value that an older version wrote. Fields that the table does not name stay, so that a value of the newer
 * format is returned unchanged. A field whose new name is taken keeps its old one, and the schema reports it under that name.
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
