/** The stages of a process's startup, in their usual order. Not every role passes all of them. */
export type StartupStage =
  | 'settings read'
  | 'listening'
  | 'first peer heard'
  | 'shard leader known'
  | 'configuration held'
  | 'replicas known'
  | 'first request served';
