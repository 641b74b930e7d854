import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { TallyNode } from './tallyNode.js';

const folder = await mkdtemp(join(tmpdir(), 'embed-'));
const seeds = [1, 2, 3].map((number) => `127.0.99.${number}:7000`);
const nodes = seeds.map((seed, position) => new TallyNode(`node-${position + 1}`, seed, seeds, join(folder, String(position))));
const wait = (waitMs: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, waitMs));
const owner = async (): Promise<TallyNode> => {
  for (;;) {
    const found = nodes.find((node) => node.isLeader);
    if (found !== undefined) return found;
    await wait(50);
  }
};

await Promise.all(nodes.map((node) => node.start()));
const first = await owner();
console.log(`${first.membership.name} owns the tally`);
console.log('added', await first.add('write-1', 'apples', 3), 'and once more under the same id', await first.add('write-1', 'apples', 3));
first.close();
nodes.splice(nodes.indexOf(first), 1);
const second = await owner();
console.log(`${second.membership.name} owns it now and reads ${await second.sum('apples')} apples`);
for (const node of nodes) node.close();
await rm(folder, { recursive: true });
