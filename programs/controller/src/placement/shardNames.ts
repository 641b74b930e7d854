/** The names of a kind's shards. They are stored and sent: the batch shards keep the word `lots` of format 1. */
export function shardNames(kind: 'services' | 'lots', count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${kind}-${index}`);
}
