/** What the neighbouring folders use of the placement of shards. */
export * from './configurationShardName.js';
export * from './initialGroup.js';
export * from './nextPlacement.js';
export * from './notAMemberError.js';
export * from './placedMachine.js';
export * from './placedShards.js';
export * from './placement.js';
export * from './placementCalls.js';
export * from './placementController.js';
export * from './shardNames.js';
export * from './wantedShards.js';
