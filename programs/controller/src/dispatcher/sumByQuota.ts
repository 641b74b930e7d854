/** Adds up counts of items by quota. */
export function sumByQuota(counts: readonly Readonly<Record<string, number>>[]): Record<string, number> {
  const total: Record<string, number> = {};
  for (const count of counts) for (const [quota, items] of Object.entries(count)) total[quota] = (total[quota] ?? 0) + items;
  return total;
}
