import { agentCalls } from '@pewterlanding/agent';
import type { LeaseOffer } from '@pewterlanding/agent';
import type { Membership } from '@pewterlanding/membership';
import type { NodeName } from '@pewterlanding/model';
import type { Counters, Transport } from '@pewterlanding/runtime';
import type { Lease, QueuedItem } from '@pewterlanding/store';
import type { BatchShardClient } from './batchShardClient.js';

interface Sender {
  readonly term: number;
  readonly batches: BatchShardClient;
  readonly transport: Transport;
  readonly membership: Membership;
  readonly failureTimeoutMs: number;
  readonly counters: Counters;
  /** Whether the duty is over. */
  readonly over: () => boolean;
}

/** Sends claimed and reserved items of a shard to their fronts. */
export async function sendLeases(
  by: Sender,
  shard: string,
  reserved: readonly { readonly item: QueuedItem; readonly lease: Lease }[],
): Promise<void> {
  const { batches, transport, membership, term, failureTimeoutMs, counters } = by;
  // The bytes of opaque items go straight from the shard's leader to the front, with their start.
  const plain = reserved.filter(({ item }) => item.route === undefined).map(({ item }) => item.ref);
  const inputs = plain.length === 0 ? [] : await batches.inputs(shard, plain).catch(() => undefined);
  const inputOf = new Map(plain.map((ref, at) => [ref, inputs?.[at]]));
  const offers = new Map<NodeName, LeaseOffer[]>();
  reserved.forEach(({ item, lease }) => {
    const input = item.route === undefined ? inputOf.get(item.ref) : '';
    if (input === undefined) return;
    const list = offers.get(lease.front) ?? [];
    offers.set(lease.front, list);
    list.push({ shard, ref: item.ref, lease, quota: item.quota, service: item.service, tokens: item.tokens, input, item: itemOf(item) });
  });
  await Promise.all(
    [...offers].map(async ([front, list]) => {
      const nodeRecord = membership.nodeRecord(front);
      const response =
        nodeRecord === undefined || by.over()
          ? undefined
          : await transport.ask(nodeRecord.address, agentCalls.lease, { term, offers: list }, failureTimeoutMs).catch(() => undefined);
      counters.add(response?.taken === true ? 'dispatch.leased' : 'dispatch.unleased', list.length);
      // What did not arrive, or may not have, is left DISPATCHED and goes back when it is stale: the front may still start it.
    }),
  );
}

function itemOf({ route, dueAtMs }: QueuedItem): LeaseOffer['item'] {
  return route === undefined ? undefined : { id: route.item, route: route.name, host: route.host, version: route.version, dueAtMs };
}
