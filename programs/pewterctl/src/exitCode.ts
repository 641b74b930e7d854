/** Exit codes of pewterctl; scripts rely on them. */
export const exitCode = {
  done: 0,
  failed: 1,
  usage: 2,
  findings: 3,
  conflict: 4,
  needsAcknowledgement: 5,
  notInForce: 6,
  notFound: 7,
} as const;
