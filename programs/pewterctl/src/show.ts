import type * as v from 'valibot';
import { table } from './table.js';
import type { views } from './views.js';

type View<K extends keyof typeof views> = v.InferOutput<(typeof views)[K]>;

function text(value: unknown): string {
  const json = JSON.stringify(value);
  return json === undefined ? '(none)' : json.length > 60 ? `${json.slice(0, 57)}...` : json;
}

/** The human face of each view. */
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
      ['name', 'role', 'zone', 'address', 'http', 'state', 'setup'],
      nodes.map((node) => [node.name, node.role, node.zone, node.address, node.http, node.state, node.version]),
    ),
  shards: ({ shards }: View<'shards'>): string =>
    table(
      ['shard', 'term', 'leader', 'group', 'behind', 'wanted'],
      shards.map(({ shard, view, wanted }) => [
        shard,
        view?.term ?? 'silent',
        view?.leader,
        view?.group.map((member) => `${member.identity.name}${member.isVoter ? '' : '(following)'}`).join(' '),
        view?.behind.map((one) => `${one.name}:${one.behind}`).join(' '),
        wanted?.map((place) => place.name).join(' '),
      ]),
    ),
  duties: ({ duties: singletonRoles }: View<'duties'>): string =>
    table(
      ['duty', 'holder', 'address', 'epoch'],
      Object.entries(singletonRoles).map(([singletonRole, held]) => [singletonRole, held.holder, held.address, held.term]),
    ),
  branches: ({ quotas, waiting, term }: View<'branches'>): string =>
    `counter under epoch ${term}\n${table(
      ['branch', 'share', 'used req', 'used tok', 'lent tok', 'borrowed tok', 'held tok', 'waiting'],
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
  lots: ({ lots: batches }: View<'lots'>): string =>
    table(
      ['lot', 'branch', 'service', 'handed in', 'items', 'states'],
      batches.map((batch) => [
        batch.id,
        batch.quota,
        batch.service,
        new Date(batch.createdMs).toISOString(),
        batch.items,
        Object.entries(batch.counts)
          .map(([state, items]) => `${state}:${items}`)
          .join(' ') + (batch.ended ? ' (ended)' : ''),
      ]),
    ),
  history: ({ history }: View<'history'>): string =>
    table(
      ['version', 'confirmed', 'plan', 'differences'],
      history.map((one) => [one.version, new Date(one.atMs).toISOString(), one.plan, one.differences.length]),
    ),
};
