import { agentCalls } from '@pewterlanding/agent';
import type { LeaseOffer } from '@pewterlanding/agent';
import type { Membership } from '@pewterlanding/membership';
import type { NodeName } from '@pewterlanding/model';
import type { Counters, Transport } from '@pewterlanding/runtime';
import type { QueuedItem } from '@pewterlanding/store';
import type { BatchShardClient } from './batchShardClient.js';
import type { LeasedItem } from './leasedItem.js';

interface LeaseSender {
  readonly term: number;
  readonly batches: BatchShardClient;
  readonly transport: Transport;
  readonly membership: Membership;
  readonly failureTimeoutMs: number;
  readonly counters: Counters;
  /** Whether this node no longer holds the role under `term`. */
  readonly isOver: () => boolean;
}

/**
 * Sends claimed and reserved items of a shard to their fronts. A lease that did not arrive, or may not have, stays DISPATCHED and is
 * requeued when it is overdue, since the front may still start it.
 */
export async function sendLeases(sender: LeaseSender, shard: string, reserved: readonly LeasedItem[]): Promise<void> {
  const offers = offersByFront(shard, reserved, await inputsOf(sender.batches, shard, reserved));
  await Promise.all([...offers].map(([front, offersOfFront]) => sendToFront(sender, front, offersOfFront)));
}

/** The inputs of plain items. The bytes of opaque items go from the shard's leader straight to the front when it starts them. */
async function inputsOf(
  batches: BatchShardClient,
  shard: string,
  reserved: readonly LeasedItem[],
): Promise<ReadonlyMap<LeasedItem['item']['ref'], string | undefined>> {
  const refs = reserved.filter(({ item }) => item.route === undefined).map(({ item }) => item.ref);
  const inputs = refs.length === 0 ? [] : await batches.inputs(shard, refs).catch(() => undefined);
  return new Map(refs.map((ref, position) => [ref, inputs?.[position]]));
}

function offersByFront(
  shard: string,
  reserved: readonly LeasedItem[],
  inputs: ReadonlyMap<LeasedItem['item']['ref'], string | undefined>,
): ReadonlyMap<NodeName, LeaseOffer[]> {
  const offers = new Map<NodeName, LeaseOffer[]>();
  for (const { item, lease } of reserved) {
    const input = item.route === undefined ? inputs.get(item.ref) : '';
    if (input === undefined) continue;
    const { ref, quota, service, tokens } = item;
    const offersOfFront = offers.get(lease.front) ?? [];
    offers.set(lease.front, offersOfFront);
    offersOfFront.push({ shard, ref, lease, quota, service, tokens, input, item: opaqueItemOf(item) });
  }
  return offers;
}

async function sendToFront(sender: LeaseSender, front: NodeName, offers: LeaseOffer[]): Promise<void> {
  const { transport, membership, term, failureTimeoutMs, counters, isOver } = sender;
  const nodeRecord = membership.nodeRecord(front);
  const response =
    nodeRecord === undefined || isOver()
      ? undefined
      : await transport.ask(nodeRecord.address, agentCalls.lease, { term, offers }, failureTimeoutMs).catch(() => undefined);
  counters.add(response?.taken === true ? 'dispatch.leased' : 'dispatch.unleased', offers.length);
}

function opaqueItemOf({ route, dueAtMs }: QueuedItem): LeaseOffer['item'] {
  if (route === undefined) return undefined;
  return { id: route.item, route: route.name, host: route.host, version: route.version, dueAtMs };
}
