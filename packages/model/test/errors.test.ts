import { describe, it } from 'node:test';
import { expect } from 'earl';
import { FindingsError, PewterError } from '../src/index.js';

describe('FindingsError', () => {
  it('is a PewterError with a code, and has one line for each finding', () => {
    const error = new FindingsError([
      { place: 'a.b', message: 'is wrong' },
      { place: '', message: 'is no object' },
    ]);
    expect(error instanceof PewterError).toEqual(true);
    expect([error.name, error.code, error.retriable]).toEqual(['FindingsError', 'PEWTER_INVALID_INPUT', false]);
    expect(error.message).toEqual('a.b: is wrong\n(whole): is no object');
  });
});
