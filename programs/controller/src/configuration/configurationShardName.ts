/** The configuration shard's name in calls and on disks, where it keeps the word of the first version. */
export const configurationShardName = 'setup';
