import * as v from 'valibot';
import type { GroupMember } from '@pewterlanding/consensus';
import type { ServiceShard, ConfigurationReturn, ConfigurationShard } from '@pewterlanding/controller';
import { PlanId } from '@pewterlanding/model';
import type { BatchReturn, BatchShard } from '@pewterlanding/store';

/** States and returns in the words of the fixtures' manifest, which stay when fields and types get other names. */
export const storedWords = { batchReturned, configurationReturned, groupWords, batchesState, servicesState, configurationState };

function batchReturned({ done, reason, claimed, term }: BatchReturn): string {
  const words = [done ? 'done' : `refused: ${reason === 'term' ? 'epoch' : reason}`];
  if (claimed !== undefined) words.push(`claimed ${claimed.map(({ batch, position }) => `${batch}#${position}`).join(' ')}`);
  if (term !== undefined) words.push(`under ${term}`);
  return words.join(', ');
}

function configurationReturned({ outcome, singletonRole, change, empty }: ConfigurationReturn): string {
  if (outcome !== undefined) return `plan ${outcome.outcome} at ${outcome.version}`;
  if (singletonRole !== undefined) return `duty of ${singletonRole.holder} at ${singletonRole.address} under ${singletonRole.term}`;
  if (change !== undefined)
    return [`change ${change.outcome} at ${change.revision}`, ...change.findings.map(({ place, message }) => `${place}: ${message}`)].join(
      '; ',
    );
  return empty === undefined ? 'nothing' : `emptying ${empty}`;
}

function groupWords(group: readonly GroupMember[]): readonly string[] {
  return group.map(({ identity, isVoter }) => `${identity.name} ${identity.address} ${identity.memberId} ${isVoter ? 'votes' : 'follows'}`);
}

function batchesState(machine: BatchShard): Record<string, unknown> {
  const batches = [...machine.batches].map(([id, { record }]) => {
    const { quota, service, bodyHash, idempotent, createdMs, endedMs, outputTokens, bytesPerToken, order, route, items } = record;
    const routeWords =
      route === undefined
        ? null
        : [
            ...[route.name, route.host, route.version, route.sentMs, route.dueMs ?? null, route.retainMs ?? null],
            ...[route.keepMs, route.attempts],
          ].join(' ');
    return [
      id,
      {
        tenant: quota,
        service,
        hash: bodyHash,
        repeatable: idempotent,
        created: createdMs,
        ended: endedMs ?? null,
        outputTokens,
        bytesPerToken,
        finished: [...order],
        route: routeWords,
        items: items.map((item) => ({
          id: item.id,
          state: item.state,
          text: item.result ?? null,
          tries: item.attempts,
          failures: item.failures ?? 0,
          queuedAt: item.queuedAtMs,
          notBefore: item.notBeforeMs,
          tokens: item.tokens ?? null,
          input: item.input,
          heldBy: item.lease === undefined ? null : `${item.lease.front} ${item.lease.term}.${item.lease.number}`,
          request:
            item.task === undefined
              ? null
              : `${item.task.path} ${JSON.stringify(item.task.headers)} ${Buffer.from(item.task.body).toString('hex')}`,
        })),
      },
    ] as const;
  });
  const held = machine.openLeases().map(({ ref, started }) => `${ref.batch}#${ref.position} ${started ? 'started' : 'waits'}`);
  return { term: machine.term, batches: Object.fromEntries(batches), held: held.sort() };
}

function servicesState({ services }: ServiceShard): Record<string, unknown> {
  return mapped(services, ({ outputTokens = null, left }) => ({ tokens: outputTokens, ended: left }));
}

function configurationState(machine: ConfigurationShard): Record<string, unknown> {
  const { configuration, placement } = machine;
  return {
    version: machine.version,
    number: configuration?.revision ?? 0,
    serviceKinds: mapped(configuration?.services ?? {}, ({ kind, replicas }) => `${kind} ${replicas.maxSlots}`),
    routeHosts: mapped(configuration?.routes ?? {}, ({ host, prefix, kind }) => `${host} ${prefix} ${kind === 'batch' ? 'lot' : kind}`),
    shares: mapped(configuration?.quotas ?? {}, ({ share }) => share),
    confirmed: machine.history.map(
      ({ version, plan, atMs, differences }) =>
        `${version} ${plan} ${atMs} ${differences.map(({ place }) => storedPlace(place)).join(' ')}`,
    ),
    audited: machine.auditHead.entries,
    auditHash: machine.auditHead.hash,
    keys: machine.auditKeys.map((key) => key['kid']),
    duties: mapped(machine.singletonRoles, ({ holder, address, term }) => `${holder} ${address} ${term}`),
    bootstrapped: mapped(machine.bootstrapped, groupWords),
    placement: {
      version: placement.version,
      machines: mapped(placement.machines, ({ role, address, zone }) => `${role} ${address} ${zone}`),
      shards: placement.shards,
      emptying: placement.emptying,
    },
    table: machine.table().version,
    plans: Object.fromEntries(['a-1', 'a-2', 'a-3', 'b-1', 'b-2', 'b-3'].map((id) => [id, planWords(machine, id)])),
  };
}

function planWords(machine: ConfigurationShard, id: string): string {
  const plan = machine.plan(v.parse(PlanId, id));
  if (plan === undefined) return 'unknown';
  const { outcome, base, madeMs, next, differences, effects } = plan;
  return [
    outcome === undefined ? `open for ${next?.revision}` : `${outcome.outcome} at ${outcome.version}`,
    `on ${base}`,
    `made ${madeMs}`,
    ...differences.map(({ place }) => storedPlace(place)),
    ...effects.map(({ effect, needsAcknowledgement }) => `${effect}${needsAcknowledgement ? ' (to be acknowledged)' : ''}`),
  ].join('; ');
}

function mapped<V, T>(of: Readonly<Record<string, V>>, word: (value: V) => T): Record<string, T> {
  return Object.fromEntries(Object.entries(of).map(([name, value]) => [name, word(value)]));
}

const storedPlaces: Readonly<Record<string, string>> = { quotas: 'branches', revision: 'mark', sourceDocument: 'words' };

/** A changed field under the name that the manifest knows: changes behind the snapshot are worked out anew when they are read. */
function storedPlace(place: string): string {
  return storedPlaces[place] ?? place;
}
