/** Counters of a proxy's shutdown. */
export const shutdownCounters = {
  /** Requests on connections that were open before the signal. */
  onOpenConnection: 'shutdown.requestOnOpenConnection',
  /** Requests on connections that were opened after it. */
  onNewConnection: 'shutdown.requestOnNewConnection',
} as const;
