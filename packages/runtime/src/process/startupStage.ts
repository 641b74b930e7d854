/** What a process reaches one after the other at its start; a role passes only those that it has a use for. */
export type StartupStage =
  | 'settings read'
  | 'listening'
  | 'first peer heard'
  | 'shard leader known'
  | 'configuration held'
  | 'replicas known'
  | 'first request served';
