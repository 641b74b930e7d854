import { mkdtemp, rm } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { it } from 'node:test';
import { expect } from 'earl';
import { TallyNode } from '../src/index.js';

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const bound = server.address();
  await new Promise((resolve) => server.close(resolve));
  return typeof bound === 'object' && bound !== null ? bound.port : 0;
}

it('the embedded parts find each other, keep a tally over the loss of its owner, and limit writers', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'embed-'));
  const seeds = (await Promise.all([freePort(), freePort(), freePort()])).map((port) => `127.0.0.1:${port}`);
  const nodes = seeds.map((seed, position) => new TallyNode(`node-${position}`, seed, seeds, join(folder, String(position))));
  const owner = async (): Promise<TallyNode> => {
    for (;;) {
      const found = nodes.find((node) => node.isLeader);
      if (found !== undefined) return found;
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  };
  await Promise.all(nodes.map((node) => node.start()));
  const first = await owner();
  expect(await first.add('one', 'apples', 3)).toEqual({ sum: 3 });
  expect(await first.add('one', 'apples', 3)).toEqual({ sum: 3 });
  let refused = 0;
  for (let write = 0; write < 30; write += 1) if ('retryAfterMs' in (await first.add(`more-${write}`, 'pears', 1))) refused += 1;
  expect(refused > 0).toEqual(true);
  const pears = await first.sum('pears');
  expect(pears).toEqual(30 - refused);
  first.close();
  nodes.splice(nodes.indexOf(first), 1);
  const second = await owner();
  expect([await second.sum('apples'), await second.sum('pears')]).toEqual([3, pears]);
  for (const node of nodes) node.close();
  await rm(folder, { recursive: true });
});
