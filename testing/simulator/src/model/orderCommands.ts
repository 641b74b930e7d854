import * as fc from 'fast-check';
import { ModelCommand } from './modelCommand.js';
import type { ModelCluster } from './modelCluster.js';
import type { RegisterOrder } from './registerOrder.js';

const machineDrawn = ModelCommand.drawn;
const gapMs = fc.oneof({ weight: 3, arbitrary: fc.nat({ max: 30 }) }, { weight: 2, arbitrary: fc.nat({ max: 600 }) });
/** What an order is based on: mostly what is known to be in force, sometimes what was before. */
const behind = fc.constantFrom(0, 0, 0, 0, 1);
/** How far its number is above that one; equal numbers of several operators race. */
const above = fc.constantFrom(1, 1, 1, 2, 0);
const serviceNames = fc.uniqueArray(fc.constantFrom('s1', 's2', 's3'), { maxLength: 2 });

function order(says: string, machine: number, gap: number, make: (cluster: ModelCluster, token: string) => RegisterOrder): ModelCommand {
  const at = (cluster: ModelCluster) => ModelCommand.machine(cluster, machine)?.node;
  return new ModelCommand({
    says: `${says} at ${machine}`,
    gapMs: gap,
    can: (cluster) => at(cluster) !== undefined && cluster.operators.history.length < maxOrders,
    act: (cluster) => {
      const node = at(cluster);
      if (node !== undefined) void cluster.operators.ask(node, make(cluster, `t${cluster.operators.history.length}`));
    },
  });
}

/** The search for an order that fits grows with their number. */
const maxOrders = 60;

const numbers = (cluster: ModelCluster, less: number, more: number): { readonly basedOn: number; readonly revision: number } => {
  const basedOn = Math.max(0, cluster.operators.known - less);
  return { basedOn, revision: basedOn + more };
};

const read = fc.tuple(machineDrawn, gapMs).map(([machine, gap]) => order('read', machine, gap, () => ({ kind: 'read' })));

const replace = fc
  .tuple(machineDrawn, gapMs, behind, above, fc.constantFrom(true, true, true, true, false))
  .map(([machine, gap, less, more, valid]) =>
    order(`${valid ? 'replace' : 'replace by nonsense'} -${less} +${more}`, machine, gap, (cluster, token) => ({
      kind: 'replace',
      ...numbers(cluster, less, more),
      token,
      valid,
    })),
  );

const amend = fc.tuple(machineDrawn, gapMs, behind, above, serviceNames, serviceNames).map(([machine, gap, less, more, put, drop]) =>
  order(`amend -${less} +${more} put ${put.join('+')} drop ${drop.join('+')}`, machine, gap, (cluster, token) => ({
    kind: 'amend',
    ...numbers(cluster, less, more),
    token,
    put,
    drop,
  })),
);

/** The same order again, at whichever member. */
const repeat = fc.tuple(machineDrawn, gapMs, fc.nat({ max: 5 })).map(([machine, gap, response]) =>
  order(`repeat the last but ${response}`, machine, gap, (cluster) => {
    const { orders } = cluster.operators;
    return orders[Math.max(0, orders.length - 1 - response)] ?? { kind: 'read' };
  }),
);

/** What operators ask. */
export const orderCommands: readonly fc.Arbitrary<ModelCommand>[] = [read, replace, replace, amend, repeat, repeat];
