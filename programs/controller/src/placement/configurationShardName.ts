/** The name of the configuration shard. It is stored and sent: it keeps the word of format 1. */
export const configurationShardName = 'setup';
