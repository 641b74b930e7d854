/** The prefix of the state table's keys under which node records stand; the node's name follows. */
export const nodeKeyPrefix = 'node/';
