/** One service of the simulated configuration. */
export function simService(kind: string, idempotent: boolean, hosts: readonly string[]): Record<string, unknown> {
  return { kind, idempotent, replicas: { hosts: [...hosts], maxSlots: 64 }, outputTokens: 50, notRun: [503] };
}
