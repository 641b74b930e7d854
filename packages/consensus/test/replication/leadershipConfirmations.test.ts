import { describe, it } from 'node:test';
import { expect } from 'earl';
import { LeadershipConfirmations } from '../../src/replication/leadershipConfirmations.js';

/** Lets all settled promises run their reactions. */
const settled = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

describe('confirmations of a leadership', () => {
  it('share a round where they are asked for before it starts, and need a new one after', async () => {
    let rounds = 0;
    const confirmations = new LeadershipConfirmations(() => (rounds += 1));
    const confirmed: string[] = [];
    void confirmations.next().then(() => confirmed.push('first'));
    void confirmations.next().then(() => confirmed.push('second'));
    await settled();
    void confirmations.next().then(() => confirmed.push('third'));
    await settled();
    expect([rounds, confirmations.round]).toEqual([2, 2]);
    confirmations.confirm(0);
    await settled();
    expect(confirmed).toEqual([]);
    confirmations.confirm(1);
    await settled();
    expect(confirmed).toEqual(['first', 'second']);
    confirmations.confirm(2);
    await settled();
    expect(confirmed).toEqual(['first', 'second', 'third']);
  });

  it('are rejected once when the leadership ends', async () => {
    const confirmations = new LeadershipConfirmations(() => undefined);
    const pending = confirmations.next();
    confirmations.rejectAll(() => new Error('over'));
    confirmations.confirm(1);
    await expect(pending).toBeRejectedWith('over');
  });
});
