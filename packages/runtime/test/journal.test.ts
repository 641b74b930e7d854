import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { expect } from 'earl';
import { Journal, NodeDisk } from '../src/index.js';

describe('the journal on a real disk', () => {
  let folder = '';
  before(async () => {
    folder = await mkdtemp(join(tmpdir(), 'journal-'));
  });
  after(() => rm(folder, { recursive: true }));

  async function written(name: string): Promise<string> {
    const journal = new Journal(new NodeDisk(folder), name);
    await journal.open();
    for (const record of ['one', 'two', 'three']) await journal.append({ record });
    return join(folder, name);
  }

  it('returns the records that were appended, also after a rewrite', async () => {
    await written('plain');
    const journal = new Journal(new NodeDisk(folder), 'plain');
    expect((await journal.open()).records).toEqual([{ record: 'one' }, { record: 'two' }, { record: 'three' }]);
    await journal.rewrite([{ record: 'all' }]);
    await journal.append({ record: 'more' });
    expect(await new Journal(new NodeDisk(folder), 'plain').open()).toEqual({
      records: [{ record: 'all' }, { record: 'more' }],
      torn: false,
      damaged: false,
    });
  });

  it('truncates a torn tail, wherever it was torn, and appends after the last complete record', async () => {
    const file = await written('torn');
    const whole = await readFile(file);
    for (let cut = 1; cut < 14; cut += 1) {
      await writeFile(file, whole.subarray(0, whole.length - cut));
      const journal = new Journal(new NodeDisk(folder), 'torn');
      expect(await journal.open()).toEqual({ records: [{ record: 'one' }, { record: 'two' }], torn: true, damaged: false });
      await journal.append({ record: 'next' });
      expect((await new Journal(new NodeDisk(folder), 'torn').open()).records.length).toEqual(3);
    }
  });

  it('returns no record of a file that is damaged before its tail', async () => {
    const file = await written('damaged');
    const bytes = await readFile(file);
    bytes[10] = (bytes[10] ?? 0) ^ 0xff;
    await writeFile(file, bytes);
    expect(await new Journal(new NodeDisk(folder), 'damaged').open()).toEqual({ records: [], torn: false, damaged: true });
  });
});
