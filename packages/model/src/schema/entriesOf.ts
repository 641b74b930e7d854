/** Object.entries that keeps the type of the keys, such as branded names. */
export function entriesOf<K extends string, V>(record: Readonly<Record<K, V>>): readonly (readonly [K, V])[] {
  const entries: (readonly [K, V])[] = [];
  for (const key in record) if (Object.hasOwn(record, key)) entries.push([key, record[key]]);
  return entries;
}
