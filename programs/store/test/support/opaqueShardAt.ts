import * as v from 'valibot';
import type { BatchId } from '@pewterlanding/model';
import { BatchCommand, BatchShard } from '../../src/index.js';
import { opaqueItem } from './opaqueItem.js';

const { host, id, lease, ref, route } = opaqueItem;

interface Submission {
  readonly batch?: string;
  /** Stated tokens of each item. */
  readonly tokens?: readonly number[];
  /** Limit of the tokens that wait on the route. */
  readonly limit?: number;
  readonly bodyHash?: string;
  readonly sentMs?: number;
  readonly dueMs?: number;
}

/** A shard of opaque items whose clock shows `at.nowMs`, and short forms of its commands. */
export function opaqueShardAt(at: { nowMs: number }, finished: (batch: BatchId) => void = () => undefined) {
  const shard = new BatchShard({ nowMs: () => at.nowMs, finished });
  const run = (raw: unknown): ReturnType<BatchShard['apply']> => shard.apply(v.parse(BatchCommand, raw));
  const submit = ({ batch = 'l', tokens = [10, 10, 10], limit = 0, bodyHash = 'h', sentMs = 1000, dueMs }: Submission = {}) =>
    run({
      kind: 'submit',
      waitingTokens: limit,
      batch: {
        id: batch,
        quota: 'north',
        service: 's',
        bodyHash,
        idempotent: true,
        createdMs: sentMs,
        outputTokens: 0,
        bytesPerToken: 1,
        route: { name: route, host, version: 3, sentMs, dueMs, retainMs: 500, keepMs: 9000, attempts: 2 },
        items: tokens.map((stated, position) => ({
          id: `${batch}${position}`,
          input: '',
          task: { path: '/p/', headers: {}, body: new Uint8Array([position]) },
          tokens: stated,
          state: 'QUEUED',
          queuedAtMs: sentMs,
          notBeforeMs: 0,
          attempts: 0,
        })),
      },
    });
  /** Claims and starts one item. */
  const start = (position: number, number: number, batch = 'l') => {
    run({ kind: 'claim', term: 1, claims: [{ ref: ref(position, batch), lease: lease(number) }] });
    return run({ kind: 'start', ref: ref(position, batch), lease: lease(number) });
  };
  const close = (position: number, number: number, state: string, result: string) =>
    run({ kind: 'close', ref: ref(position), lease: lease(number), state, result });
  const outcomes = (after = 0, bytes = 1000) => shard.find(id(), host)?.outcomes(after, bytes);
  const outcomeTexts = () => outcomes()?.outcomes.map((one) => `${one.id} ${one.state} ${one.text}`);
  return { shard, run, submit, start, close, outcomes, outcomeTexts };
}
