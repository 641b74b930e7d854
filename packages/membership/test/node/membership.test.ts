import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { Address, NodeName, ZoneName } from '@pewterlanding/model';
import { Counters, quietLog } from '@pewterlanding/runtime';
import type { Call, Clock, Transport } from '@pewterlanding/runtime';
import { Membership } from '../../src/index.js';

const heartbeatMs = 100;

/** A network that delivers at once and a clock in which no heartbeat is ever due: only timers shorter than that run. */
class NetworkWithoutHeartbeats {
  readonly counters = new Counters();
  readonly #handlers = new Map<string, (body: unknown) => Promise<unknown>>();

  node(number: number): Membership {
    const here = v.parse(Address, `127.0.0.${number}:7000`);
    const transport: Transport = {
      here,
      serve: (call, handle) => {
        this.#handlers.set(`${here} ${call.name}`, async (raw) => handle(v.parse(call.body, raw)));
      },
      ask: (to, call, body) => this.#carry(to, call, body),
      tell: (to, call, body) => void this.#carry(to, call, body).catch(() => undefined),
    };
    const clock: Clock = {
      nowMs: () => 0,
      wallMs: () => 1,
      after: (waitMs, run) => {
        if (waitMs < heartbeatMs) setImmediate(run);
        return () => undefined;
      },
    };
    const nodeRecord = { name: v.parse(NodeName, `n${number}`), role: 'agent' as const, zone: v.parse(ZoneName, 'z'), address: here };
    const seeds = number === 1 ? [] : [v.parse(Address, '127.0.0.1:7000')];
    const bounds = { heartbeatMs, failureTimeoutMs: heartbeatMs * 4, watchers: 3 };
    return new Membership({ nodeRecord, seeds, clock, transport, bounds, counters: this.counters, log: quietLog });
  }

  async #carry<B, R>(to: Address, call: Call<B, R>, body: B): Promise<R> {
    this.counters.add(call.name);
    const handle = this.#handlers.get(`${to} ${call.name}`);
    if (handle === undefined) throw new Error(`no node at ${to}`);
    return v.parse(call.response, await handle(body));
  }
}

async function settled(): Promise<void> {
  for (let turn = 0; turn < 50; turn += 1) await new Promise((resolve) => setImmediate(resolve));
}

async function fleet(net: NetworkWithoutHeartbeats, size: number): Promise<readonly Membership[]> {
  const nodes: Membership[] = [];
  for (let number = 1; number <= size; number += 1) {
    nodes.push(net.node(number));
    await settled();
  }
  return nodes;
}

const instances = (nodes: readonly Membership[]): readonly number[] => nodes.map((node) => node.live().length);

describe('membership', () => {
  it('tells all nodes that one leaves, though it is not in the relay tree any more', async () => {
    const nodes = await fleet(new NetworkWithoutHeartbeats(), 9);
    expect(instances(nodes)).toEqual(nodes.map(() => 9));
    // There is no heartbeat, so neither that nor anti-entropy can bring the update.
    for (const [at, node] of nodes.slice(0, 4).entries()) {
      node.leave();
      await settled();
      const rest = nodes.slice(at + 1);
      expect(instances(rest)).toEqual(rest.map(() => rest.length));
    }
  });

  it('compares digests, and versions only of what differs', async () => {
    const net = new NetworkWithoutHeartbeats();
    const [one] = await fleet(net, 1);
    for (let number = 0; number < 500; number += 1) one?.put({ key: `value/${number}`, version: [1, 0], volatile: false, value: number });
    const two = net.node(2);
    await settled();
    expect([...two.stateTable.withPrefix('value/')].length).toEqual(500);
    expect(two.stateTable.checksum).toEqual(one?.stateTable.checksum ?? -1);
    expect(two.stateTable.differing(one?.stateTable.digest ?? [])).toEqual([]);
    two.stateTable.put({ key: 'value/7', version: [2, 0], volatile: false, value: 8 });
    const differing = two.stateTable.differing(one?.stateTable.digest ?? []);
    expect(differing.length).toEqual(1);
    expect(Object.keys(two.stateTable.versions(differing)).length < 50).toEqual(true);
    // A node that joins has nothing to relay of what it has just received.
    expect(net.counters.get('membership.compared')).toEqual(1);
    expect(net.counters.get('membership.newsSent') < 10).toEqual(true);
  });
});
