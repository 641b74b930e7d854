import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { Address, NodeName, ZoneName } from '@pewterlanding/model';
import type { Address as At } from '@pewterlanding/model';
import type { Transport } from '@pewterlanding/runtime';
import { membershipCalls } from '../../src/index.js';
import type { NodeRecord } from '../../src/index.js';
import { FailureDetector } from '../../src/failure-detector/failureDetector.js';

const failureTimeoutMs = 400;
const bounds = { heartbeatMs: 100, failureTimeoutMs, watchers: 3 };
const nodeRecordOf = (name: string, number: number): NodeRecord => ({
  name: v.parse(NodeName, name),
  role: 'agent',
  zone: v.parse(ZoneName, 'a'),
  address: v.parse(Address, `127.0.0.${number}:7000`),
  state: 'here',
});
const [self, silent, other] = [nodeRecordOf('self', 1), nodeRecordOf('silent', 2), nodeRecordOf('other', 3)];

/** A detector that watches one node, besides one other watcher; `reached` are the watchers that reach the silent node. */
class WatchedNode {
  nowMs = 0;
  record = silent;
  reached: readonly NodeRecord[] = [];
  readonly failed: string[] = [];
  readonly detector: FailureDetector;

  constructor() {
    const transport: Transport = {
      here: self.address,
      serve: () => undefined,
      ask: async (to, call) => v.parse(call.response, this.#returned(to, call.name)),
      tell: () => undefined,
    };
    this.detector = new FailureDetector({
      self: self.name,
      clock: { nowMs: () => this.nowMs, wallMs: () => 0, after: () => () => undefined },
      transport,
      bounds,
      nodeRecord: (name) => [self, this.record, other].find((nodeRecord) => nodeRecord.name === name),
      watchers: () => [self.name, other.name],
      onFailure: ({ name }) => this.failed.push(name),
    });
    this.detector.watch([silent.name]);
  }

  async checkAt(atMs: number): Promise<readonly string[]> {
    this.nowMs = atMs;
    this.detector.checkTimeouts();
    for (let turn = 0; turn < 10; turn += 1) await new Promise((resolve) => setImmediate(resolve));
    return this.failed;
  }

  #returned(to: At, call: string): unknown {
    if (call === membershipCalls.pingFor.name) return { heard: this.reached.includes(other) };
    if (to === silent.address && !this.reached.includes(self)) throw new Error('silent');
    return {};
  }
}

describe('the failure detector', () => {
  it('reports a node as failed after the timeout where no watcher reaches it', async () => {
    const watch = new WatchedNode();
    expect(await watch.checkAt(failureTimeoutMs)).toEqual([]);
    expect(await watch.checkAt(failureTimeoutMs + 1)).toEqual(['silent']);
  });

  it('does not report a node that another watcher reaches, or that answers itself', async () => {
    for (const nodeRecord of [self, other]) {
      const watch = new WatchedNode();
      watch.reached = [nodeRecord];
      expect(await watch.checkAt(failureTimeoutMs + 1)).toEqual([]);
      watch.reached = [];
      expect(await watch.checkAt(failureTimeoutMs * 2)).toEqual([]);
      expect(await watch.checkAt(failureTimeoutMs * 2 + 2)).toEqual(['silent']);
    }
  });

  it('gives a node a whole timeout after its heartbeat, and forgets one that it watches no more', async () => {
    const watch = new WatchedNode();
    watch.nowMs = failureTimeoutMs;
    watch.detector.recordHeartbeat(silent.name);
    expect(await watch.checkAt(failureTimeoutMs * 2)).toEqual([]);
    watch.detector.watch([]);
    expect(await watch.checkAt(failureTimeoutMs * 4)).toEqual([]);
  });

  it('drops its suspicion where the record changed while others were asked', async () => {
    const watch = new WatchedNode();
    watch.nowMs = failureTimeoutMs + 1;
    watch.detector.checkTimeouts();
    watch.record = { ...silent };
    expect(await watch.checkAt(failureTimeoutMs + 1)).toEqual([]);
  });
});
