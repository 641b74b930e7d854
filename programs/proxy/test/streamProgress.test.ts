import { describe, it } from 'node:test';
import { expect } from 'earl';
import { StreamProgress } from '../src/forwarding/streamProgress.js';

describe('the progress of a stream', () => {
  it('accepts rising ids with gaps, and events without ids', () => {
    const stream = new StreamProgress(undefined, 1);
    expect(stream.accept('5', true)).toEqual(true);
    stream.begin();
    expect([stream.accept(undefined, false), stream.accept('9', false), stream.accept('x', false)]).toEqual([true, true, true]);
    expect([stream.accept('9', false), stream.accept('8', false)]).toEqual([false, false]);
    expect(stream.lastId).toEqual(9);
  });

  it('accepts no wider gap after a resumption than was seen before', () => {
    const stream = new StreamProgress(undefined, 1);
    stream.accept('1', true);
    stream.begin();
    stream.accept('4', false);
    expect(stream.accept('8', true)).toEqual(false);
    expect(stream.accept('7', true)).toEqual(true);
  });

  it('checks the first event of a client that resumes by the step to expect', () => {
    expect(new StreamProgress(3, 2).accept('6', true)).toEqual(false);
    expect(new StreamProgress(3, 2).accept('5', true)).toEqual(true);
    // Nothing was received before event 0: any first event may follow.
    expect(new StreamProgress(0, 1).accept('7', true)).toEqual(true);
  });
});
