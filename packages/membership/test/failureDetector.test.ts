import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { Address, NodeName, ZoneName } from '@pewterlanding/model';
import type { Address as At } from '@pewterlanding/model';
import type { Transport } from '@pewterlanding/runtime';
import { membershipCalls } from '../src/index.js';
import type { NodeRecord } from '../src/index.js';
import { FailureDetector } from '../src/failure-detector/failureDetector.js';

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

/** A detector that watches one node, beside one other watcher; `reached` says who reaches the silent one. */
class Watch {
  nowMs = 0;
  held = silent;
  reached: readonly NodeRecord[] = [];
  readonly gone: string[] = [];
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
      nodeRecord: (name) => [self, this.held, other].find((nodeRecord) => nodeRecord.name === name),
      watchers: () => [self.name, other.name],
      gone: ({ name }) => this.gone.push(name),
    });
    this.detector.watch([silent.name]);
  }

  async look(atMs: number): Promise<readonly string[]> {
    this.nowMs = atMs;
    this.detector.look();
    for (let turn = 0; turn < 10; turn += 1) await new Promise((resolve) => setImmediate(resolve));
    return this.gone;
  }

  #returned(to: At, call: string): unknown {
    if (call === membershipCalls.pingFor.name) return { heard: this.reached.includes(other) };
    if (to === silent.address && !this.reached.includes(self)) throw new Error('silent');
    return {};
  }
}

describe('the failure detector', () => {
  it('calls a node gone after the timeout where nobody reaches it', async () => {
    const watch = new Watch();
    expect(await watch.look(failureTimeoutMs)).toEqual([]);
    expect(await watch.look(failureTimeoutMs + 1)).toEqual(['silent']);
  });

  it('does not while another watcher reaches it, or it answers itself', async () => {
    for (const nodeRecord of [self, other]) {
      const watch = new Watch();
      watch.reached = [nodeRecord];
      expect(await watch.look(failureTimeoutMs + 1)).toEqual([]);
      watch.reached = [];
      expect(await watch.look(failureTimeoutMs * 2)).toEqual([]);
      expect(await watch.look(failureTimeoutMs * 2 + 2)).toEqual(['silent']);
    }
  });

  it('gives a node that was heard a whole timeout, and forgets one that it watches no more', async () => {
    const watch = new Watch();
    watch.nowMs = failureTimeoutMs;
    watch.detector.heard(silent.name);
    expect(await watch.look(failureTimeoutMs * 2)).toEqual([]);
    watch.detector.watch([]);
    expect(await watch.look(failureTimeoutMs * 4)).toEqual([]);
  });

  it('drops its doubt where the card changed while others were asked', async () => {
    const watch = new Watch();
    watch.nowMs = failureTimeoutMs + 1;
    watch.detector.look();
    watch.held = { ...silent };
    expect(await watch.look(failureTimeoutMs + 1)).toEqual([]);
  });
});
