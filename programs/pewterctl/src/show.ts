import type * as v from 'valibot';
import { table } from './table.js';
import type { views } from './views.js';

type View<K extends keyof typeof views> = v.InferOutput<(typeof views)[K]>;

const maxTextLength = 60;

function text(value: unknown): string {
  const json = JSON.stringify(value);
  if (json === undefined) return '(none)';
  return json.length > maxTextLength ? `${json.slice(0, maxTextLength - 3)}...` : json;
}

function statesOf(batch: View<'batches'>['batches'][number]): string {
  const counts = Object.entries(batch.counts).map(([state, items]) => `${state}:${items}`);
  return counts.join(' ') + (batch.ended ? ' (ended)' : '');
}

/** Each view as text for people. */
export const show = {
  plan: (plan: View<'plan'>): string =>
    [
      `plan ${plan.id} on version ${plan.base}`,
      plan.differences.length === 0
        ? 'no differences'
        : table(
            ['place', 'before', 'after'],
            plan.differences.map((one) => [one.place, text(one.before), text(one.after)]),
          ),
      ...plan.effects.map((one) => `${one.needsAcknowledgement ? '! ' : '- '}${one.effect}`),
      ...(plan.effects.some((one) => one.needsAcknowledgement) ? ['effects marked ! need --acknowledge on confirm'] : []),
      ...(plan.outcome === undefined ? [] : [`outcome: ${plan.outcome.outcome}, version ${plan.outcome.version}`]),
    ].join('\n'),
  nodes: ({ nodes }: View<'nodes'>): string =>
    table(
      ['name', 'role', 'zone', 'address', 'http', 'state', 'configuration'],
      nodes.map((node) => [node.name, node.role, node.zone, node.address, node.http, node.state, node.version]),
    ),
  shards: ({ shards }: View<'shards'>): string =>
    table(
      ['shard', 'term', 'leader', 'group', 'behind', 'wanted'],
      shards.map(({ shard, view, wanted }) => [
        shard,
        view?.term ?? 'silent',
        view?.leader,
        view?.group.map((member) => `${member.identity.name}${member.isVoter ? '' : '(learner)'}`).join(' '),
        view?.behind.map((one) => `${one.name}:${one.behind}`).join(' '),
        wanted?.map((place) => place.name).join(' '),
      ]),
    ),
  roles: ({ roles }: View<'roles'>): string =>
    table(
      ['role', 'holder', 'address', 'term'],
      Object.entries(roles).map(([name, role]) => [name, role.holder, role.address, role.term]),
    ),
  quotas: ({ quotas, waiting, term }: View<'quotas'>): string =>
    `rate limits under term ${term}\n${table(
      ['quota', 'share', 'used req', 'used tok', 'lent tok', 'borrowed tok', 'held tok', 'waiting'],
      quotas.map((one) => [
        one.quota,
        one.share.toFixed(3),
        one.used.requests,
        one.used.tokens,
        one.lent.tokens,
        one.borrowed.tokens,
        one.held.tokens,
        waiting[one.quota] ?? 0,
      ]),
    )}`,
  batches: ({ batches }: View<'batches'>): string =>
    table(
      ['batch', 'quota', 'service', 'submitted', 'items', 'states'],
      batches.map((batch) => [batch.id, batch.quota, batch.service, new Date(batch.createdMs).toISOString(), batch.items, statesOf(batch)]),
    ),
  configuration: ({ version, configuration }: View<'configuration'>): string =>
    `version ${version}\n${JSON.stringify(configuration, null, 2)}`,
  history: ({ history }: View<'history'>): string =>
    table(
      ['version', 'confirmed', 'plan', 'differences'],
      history.map((one) => [one.version, new Date(one.atMs).toISOString(), one.plan, one.differences.length]),
    ),
};
