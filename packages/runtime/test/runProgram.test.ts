import { describe, it } from 'node:test';
import { expect } from 'earl';
import { BootSettings, runProgram } from '../src/index.js';

describe('the flags of programs', () => {
  it('are --boot, which names the file, and flags that are boot settings', () => {
    const flags = Object.keys(runProgram.flags);
    expect(flags.includes('boot')).toEqual(true);
    expect(flags.filter((flag) => flag !== 'boot' && !(flag in BootSettings.entries))).toEqual([]);
  });
});
