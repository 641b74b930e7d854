import type { FieldRenamings } from '@pewterlanding/model';

/** The renamings from the newer format back to the older one. */
export function inverseRenamings(renamings: FieldRenamings): FieldRenamings {
  const inverse: Record<string, FieldRenamings[string]> = {};
  for (const [field, renaming] of Object.entries(renamings)) {
    if (typeof renaming === 'string') inverse[renaming] = field;
    else inverse[renaming.to ?? field] = inverseOf(field, renaming);
  }
  return inverse;
}

function inverseOf(field: string, { fields, values, ...renaming }: Exclude<FieldRenamings[string], string>): FieldRenamings[string] {
  return {
    ...renaming,
    to: field,
    ...(fields === undefined ? {} : { fields: inverseRenamings(fields) }),
    ...(values === undefined ? {} : { values: inverseValues(values) }),
  };
}

function inverseValues(values: Readonly<Record<string, string>>): Readonly<Record<string, string>> {
  return Object.fromEntries(Object.entries(values).map(([old, present]) => [present, old]));
}
