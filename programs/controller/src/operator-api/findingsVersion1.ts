import { configurationFormat1 } from '@pewterlanding/model';
import type { FieldRenamings, Finding } from '@pewterlanding/model';
import { inverseRenamings } from './inverseRenamings.js';

const oldNames = inverseRenamings(configurationFormat1);

/** Findings whose places name fields as version 1 of the configuration's format did. */
export function findingsVersion1(findings: readonly Finding[]): readonly Finding[] {
  return findings.map(({ place, message }) => ({ place: placeVersion1(place), message }));
}

/** A place is a path: a field of the configuration first, and a field of the item last. Names of items between them stay. */
function placeVersion1(place: string): string {
  const path = place.split('.');
  const [section = ''] = path;
  const last = path.length - 1;
  path[0] = oldName(oldNames, section);
  const minLast = section === 'bounds' ? 1 : 2;
  if (last >= minLast) path[last] = oldName(fieldsOf(oldNames, section), path[last] ?? '');
  return path.join('.');
}

function oldName(names: FieldRenamings, field: string): string {
  const renaming = Object.hasOwn(names, field) ? names[field] : undefined;
  if (renaming === undefined) return field;
  if (typeof renaming === 'string') return renaming;
  return renaming.to ?? field;
}

/** The fields of a section, and those nested in them, which have names of their own. */
function fieldsOf(names: FieldRenamings, section: string): FieldRenamings {
  const renaming = Object.hasOwn(names, section) ? names[section] : undefined;
  if (renaming === undefined || typeof renaming === 'string') return {};
  const own = renaming.fields ?? {};
  let all = own;
  for (const field of Object.keys(own)) all = { ...fieldsOf(own, field), ...all };
  return all;
}
