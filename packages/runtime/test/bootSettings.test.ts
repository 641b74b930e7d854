import { describe, it } from 'node:test';
import { expect } from 'earl';
import { FindingsError } from '@pewterlanding/model';
import { readBootSettings } from '../src/index.js';

describe('readBootSettings', () => {
  it('refuses wrong settings with every finding and its place', async () => {
    const flags = { fleet: '', name: 'a b', zone: 'z', listen: 'here:1', seeds: ['127.0.0.1:99999'], more: 1 };
    const error = await readBootSettings(undefined, flags, ['dataFolder']).catch((thrown: unknown) => thrown);
    const places = error instanceof FindingsError ? error.findings.map((finding) => finding.place).sort() : [];
    expect(places).toEqual(['dataFolder', 'fleet', 'listen', 'more', 'name', 'seeds.0']);
  });

  it('applies the defaults of settings that are left out', async () => {
    const bootSettings = await readBootSettings(
      undefined,
      { fleet: 'f', name: 'a', zone: 'z', listen: '127.0.0.1:1', seeds: ['127.0.0.1:2'] },
      [],
    );
    expect([bootSettings.heartbeatMs, bootSettings.failureTimeoutMs, bootSettings.logLevel]).toEqual([250, 1000, 'info']);
  });
});
