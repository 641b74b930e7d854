import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { ToldRecord } from '@pewterlanding/stand-ins';
import { soakDay, soakFindings, SoakHistory } from '../src/index.js';

const deployment = join(dirname(fileURLToPath(import.meta.url)), '../../../../examples/fcdp');

function record(key: string, outcome: ToldRecord['outcome']): ToldRecord {
  return { key, service: 'slots', front: '127.0.0.1:1', sentMs: 1000, atMs: 1400, outcome, status: outcome === 'returned' ? 200 : 0 };
}

/** A history in which enough requests were answered. */
function calm(): SoakHistory {
  const history = new SoakHistory();
  for (let key = 0; key < 200; key += 1) history.told.push({ machine: 'front-1', record: record(`${key}`, 'returned') });
  return history;
}

const rules = (history: SoakHistory): readonly string[] => soakFindings(history).map(({ rule }) => rule);

describe('the findings of a soak', () => {
  it('are none for responses, and for a request that no replica has run', () => {
    const history = calm();
    history.told.push({ machine: 'front-1', record: record('unread', 'lost') });
    expect(rules(history)).toEqual([]);
  });

  it('name requests that were run and given up, but not at a machine that was killed meanwhile', () => {
    const history = calm();
    history.ran.add('run');
    history.told.push({ machine: 'front-1', record: record('run', 'lost') });
    history.told.push({ machine: 'front-2', record: record('stream', 'cut') });
    expect(rules(history)).toEqual(['given up', 'given up']);
    history.outages.push({ machine: 'front-2', fromMs: 1200, toMs: 1300 });
    expect(rules(history)).toEqual(['given up']);
    history.outages.push({ machine: 'front-1', fromMs: 1401, toMs: 1500 }, { machine: 'front-1', fromMs: 0, toMs: 999 });
    expect(rules(history)).toEqual(['given up']);
  });

  it('name wrong responses and processes that end by themselves or not in order', () => {
    const history = calm();
    history.told.push({ machine: 'front-1', record: { ...record('other', 'returned'), wrong: 'not the genuine return' } });
    history.gone.push('core-1/controller');
    history.ends.push({ process: 'front-1/proxy', exitCode: 0 }, { process: 'front-1/agent', exitCode: 1 });
    expect(rules(history)).toEqual(['wrong response', 'ended by itself', 'did not end in order']);
  });

  it('say that too few requests show nothing', () => {
    expect(rules(new SoakHistory())).toEqual(['nothing judged']);
  });
});

describe('a soak', () => {
  for (const seed of [1, 2])
    it(`gives up no request and ends no process by itself, seed ${seed}`, async () => {
      const data = await mkdtemp(join(tmpdir(), 'soak-'));
      try {
        const day = await soakDay({ deployment, data, seed, proxies: 4, clients: 40, series: 2, events: 4 });
        expect(day.findings).toEqual([]);
      } finally {
        await rm(data, { recursive: true });
      }
    });
});
