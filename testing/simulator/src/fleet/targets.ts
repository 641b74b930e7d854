import { check } from '@pewterlanding/model';
import { views } from '@pewterlanding/pewterctl';
import { HarnessError } from '../errors/index.js';
import type { Daemon } from './daemon.js';
import type { Fleet } from './fleet.js';

/** Finds the machines that faults aim at. Who is not known is an error, never a guess. */
export const targets = {
  /** The daemons of one machine: a front's proxy and agent go together. */
  daemons: (fleet: Fleet, name: string): readonly Daemon[] => {
    const found = [...fleet.daemons.values()].filter((daemon) => daemon.name === name || daemon.name.startsWith(`${name}.`));
    if (found.length === 0) throw new HarnessError(`no machine ${name}`);
    return found;
  },

  names: (fleet: Fleet, kind: 'controller' | 'store' | 'front'): readonly string[] => {
    const program = kind === 'front' ? 'proxy' : kind;
    const daemons = [...fleet.daemons].filter(([, daemon]) => daemon.program === program);
    return daemons.map(([key]) => key.split('.')[0] ?? key);
  },

  pickRandom: <T>(all: readonly T[], random: () => number): T => {
    const one = all[Math.floor(random() * all.length)];
    if (one === undefined) throw new HarnessError('nothing to pick from');
    return one;
  },

  /** The machine that holds the dispatcher's role. */
  dispatcher: async (fleet: Fleet): Promise<string> => {
    const read = check(views.roles, (await fleet.controller('GET', '/v1/roles')).body);
    const dispatcher = read.ok ? read.value.roles['dispatch']?.holder : undefined;
    if (dispatcher === undefined) throw new HarnessError('nobody holds the dispatcher role');
    return dispatcher;
  },

  /** The machine that leads a shard. */
  shardLeader: async (fleet: Fleet, shard: string): Promise<string> => {
    const read = check(views.shards, (await fleet.controller('GET', '/v1/shards')).body);
    const shardLeader = read.ok ? read.value.shards.find((one) => one.shard === shard)?.view?.leader : undefined;
    if (shardLeader === undefined) throw new HarnessError(`nobody is known to own ${shard}`);
    return shardLeader;
  },

  /** True when every shard is served and none of its group members lags or only follows. */
  settled: async (fleet: Fleet): Promise<boolean> => {
    const read = check(views.shards, (await fleet.controller('GET', '/v1/shards')).body);
    if (!read.ok) return false;
    return read.value.shards.every(
      ({ view }) => view !== undefined && view.behind.every((one) => one.behind === 0) && view.group.every((member) => member.isVoter),
    );
  },
};
