import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { ServiceName } from '@pewterlanding/model';
import { PendingQueue } from '../src/selection/pendingQueue.js';
import { TestClock } from './testClock.js';

const service = v.parse(ServiceName, 's');

function opened(keepsEmpty: boolean) {
  const clock = new TestClock();
  const queue = new PendingQueue<number, string>({ clock, keepsEmpty, precedes: (one, other) => one < other });
  const wait = (request: number, waitMs: number, abort = new AbortController().signal): Promise<string> =>
    queue.wait(service, request, { waitMs, abort, onTimeout: () => 'timed out', onAbort: () => 'aborted' });
  return { clock, queue, wait };
}

describe('the queue of pending requests', () => {
  it('orders requests, and serves equal ones in the order of their arrival', () => {
    const { queue, wait } = opened(false);
    for (const request of [2, 1, 3, 1.5]) void wait(request, 100);
    expect(queue.of(service).map(({ request }) => request)).toEqual([1, 1.5, 2, 3]);
    expect(queue.size).toEqual(4);
  });

  it('resolves a request once: when it is settled, times out or is aborted', async () => {
    const { clock, queue, wait } = opened(false);
    const abort = new AbortController();
    const results = [wait(1, 100), wait(2, 50), wait(3, 100, abort.signal)];
    const [first] = queue.of(service);
    expect(first !== undefined && queue.settle(first, 'settled')).toEqual(true);
    expect(first !== undefined && queue.settle(first, 'settled again')).toEqual(false);
    abort.abort();
    while (clock.next());
    expect(await Promise.all(results)).toEqual(['settled', 'timed out', 'aborted']);
    expect(clock.nowMs()).toEqual(50);
    expect(queue.size).toEqual(0);
  });

  it('forgets the queue of a service with its last request, or when told to', () => {
    for (const keepsEmpty of [false, true]) {
      const { queue, wait } = opened(keepsEmpty);
      void wait(1, 100);
      for (const pending of queue.of(service)) queue.settle(pending, 'settled');
      expect(queue.services()).toEqual(keepsEmpty ? [service] : []);
      queue.dropIfEmpty(service);
      expect(queue.services()).toEqual([]);
    }
  });
});
