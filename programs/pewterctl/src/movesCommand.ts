import type * as v from 'valibot';
import type { Command } from './command.js';
import { emptyingStores } from './emptyingStores.js';
import { readView } from './readView.js';
import { views } from './views.js';

/** Names of batch shards begin with the word of the first version, since disks hold them. */
const batchShardPrefix = 'lots-';

type Shards = v.InferOutput<typeof views.shards>['shards'];

/** How far the emptying of stores has come: the batch shards that still have copies there. */
export const movesCommand: Command = {
  usage: '',
  help: 'show how far the emptying of stores has come',
  run: async ({ controller }) => {
    const stores = await emptyingStores(controller);
    return readView(controller, '/v1/shards', views.shards, ({ shards }) => textOf(stores, shards));
  },
};

function textOf(stores: readonly string[], shards: Shards): string {
  if (stores.length === 0) return 'no store is being emptied';
  return stores.map((store) => lineOf(store, shards)).join('\n');
}

function lineOf(store: string, shards: Shards): string {
  const remaining = shards.filter((one) => mayHaveCopy(one, store)).map(({ shard }) => shard);
  if (remaining.length === 0) return `${store}: no copies remain; it may be retired`;
  return `${store}: copies of ${remaining.length} shards remain: ${remaining.join(' ')}`;
}

/** A shard whose leader does not answer may still have a copy anywhere. */
function mayHaveCopy({ shard, view }: Shards[number], store: string): boolean {
  if (!shard.startsWith(batchShardPrefix)) return false;
  return view === undefined || view.group.some((member) => member.identity.name === store);
}
