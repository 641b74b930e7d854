export * from './consensusCalls.js';
export * from './leaderFinder.js';
export * from './notLeaderError.js';
export * from './replyAsLeader.js';
export * from './shardView.js';
export * from './unknownOutcomeError.js';
