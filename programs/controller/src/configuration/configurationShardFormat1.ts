import { configurationFormat1, isFields, renameFields } from '@pewterlanding/model';
import type { FieldRenamings } from '@pewterlanding/model';

const role: FieldRenamings = { epoch: 'term' };
const plan: FieldRenamings = { next: { fields: configurationFormat1 } };
const change: FieldRenamings = {
  mark: 'revision',
  change: { fields: { t: 'kind', setup: { to: 'configuration', fields: configurationFormat1 }, ...itemsOf(configurationFormat1) } },
};
const kinds = { duty: 'claimRole', sit: 'place', found: 'bootstrap' };

const command: FieldRenamings = {
  t: { to: 'kind', values: kinds },
  duty: 'singletonRole',
  claim: { fields: role },
  seating: 'placement',
  seats: 'members',
  least: 'minimum',
  change: { fields: change },
};
const commandWithPlan: FieldRenamings = { ...command, plan: { fields: plan } };
const result: FieldRenamings = { duty: { to: 'singletonRole', fields: role }, change: { fields: { mark: 'revision' } } };
const snapshot: FieldRenamings = {
  state: {
    fields: {
      setup: { to: 'configuration', fields: configurationFormat1 },
      plans: { fields: plan },
      duties: { to: 'singletonRoles', record: true, fields: role },
      founded: 'bootstrapped',
      seating: 'placement',
    },
  },
};

/** Reads what version 1 of the configuration shard's format stored; values of the present format come out unchanged. */
export const configurationShardFormat1 = {
  /** A command; those of the present format have no field `t`. */
  command(raw: unknown): unknown {
    if (!isFields(raw) || raw['t'] === undefined) return raw;
    return renameFields(raw, raw['t'] === 'plan' ? commandWithPlan : command);
  },
  result: (raw: unknown): unknown => renameFields(raw, result),
  snapshot: (raw: unknown): unknown => renameFields(raw, snapshot),
};

function itemsOf({ routes = 'routes', services = 'services' }: FieldRenamings): FieldRenamings {
  return { routes, services };
}
