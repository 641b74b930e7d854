import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { NodeName } from '@pewterlanding/model';
import { UpdateBatcher } from '../../src/index.js';
import type { Update } from '../../src/index.js';

const from = v.parse(NodeName, 'n1');
const lastingMs = 10;

/** A clock that is moved by hand, and what was sent when. */
class BatcherRun {
  nowMs = 0;
  readonly sent: { readonly atMs: number; readonly keys: string }[] = [];
  readonly #due: { readonly atMs: number; readonly run: () => void }[] = [];
  readonly batcher = new UpdateBatcher({
    clock: {
      nowMs: () => this.nowMs,
      wallMs: () => this.nowMs,
      after: (waitMs, run) => {
        const one = { atMs: this.nowMs + waitMs, run };
        this.#due.push(one);
        return () => void this.#due.splice(this.#due.indexOf(one), this.#due.includes(one) ? 1 : 0);
      },
    },
    lastingMs,
    volatileMs: () => lastingMs * 4,
    send: (all) => this.sent.push({ atMs: this.nowMs, keys: all.map(({ update }) => update.key).join(' ') }),
  });

  add(key: string, volatile: boolean, version: number, change?: Update['change']): void {
    this.batcher.add([{ from, update: { key, version: [version, 0], volatile, value: version, ...(change && { change }) } }]);
  }

  runTo(atMs: number): void {
    for (; this.nowMs <= atMs; this.nowMs += 1)
      for (const one of this.#due.filter((due) => due.atMs <= this.nowMs)) {
        this.#due.splice(this.#due.indexOf(one), 1);
        one.run();
      }
    this.nowMs = atMs;
  }
}

describe('the update batcher', () => {
  it('sends no more messages when many more nodes publish volatile updates', () => {
    const messages = [5, 100].map((nodes) => {
      const run = new BatcherRun();
      for (let atMs = 0; atMs < 1000; atMs += 1) {
        run.runTo(atMs);
        if (atMs % (100 / nodes) < 1) run.add(`use/${atMs % nodes}`, true, atMs);
      }
      return run.sent.length;
    });
    expect(messages.every((count) => count <= 1000 / (lastingMs * 4) + 2)).toEqual(true);
  });

  it('sends at once when nothing waits, and a lasting update soon, with all that waits', () => {
    const run = new BatcherRun();
    run.add('use/1', true, 1);
    run.add('use/2', true, 1);
    run.runTo(5);
    run.add('replica/a', false, 1);
    run.add('use/2', true, 2);
    run.runTo(100);
    run.add('replica/b', false, 1);
    expect(run.sent).toEqual([
      { atMs: 0, keys: 'use/1' },
      { atMs: 15, keys: 'replica/a use/2' },
      { atMs: 100, keys: 'replica/b' },
    ]);
  });

  it('keeps every update before a change, which needs the version that it starts at', () => {
    const run = new BatcherRun();
    run.add('use/1', true, 1);
    run.add('setup', false, 1);
    run.add('setup', false, 2, { from: [1, 0], patch: 1 });
    run.runTo(100);
    expect(run.sent.map(({ keys }) => keys)).toEqual(['use/1', 'setup setup']);
  });
});
