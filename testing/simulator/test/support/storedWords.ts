import * as v from 'valibot';
import type { GroupMember } from '@pewterlanding/consensus';
import type { ServiceShard, SetupReturn, SetupShard } from '@pewterlanding/controller';
import { PlanId } from '@pewterlanding/runtime';
import type { LotReturn, LotShard } from '@pewterlanding/store';

/** States and returns in the words of the fixtures' manifest, which stay when fields and types get other names. */
export const storedWords = { lotReturned, setupReturned, groupWords, batchesState, servicesState, setupState };

function lotReturned({ done, why, claimed, epoch }: LotReturn): string {
  const words = [done ? 'done' : `refused: ${why}`];
  if (claimed !== undefined) words.push(`claimed ${claimed.map(({ lot, place }) => `${lot}#${place}`).join(' ')}`);
  if (epoch !== undefined) words.push(`under ${epoch}`);
  return words.join(', ');
}

function setupReturned({ outcome, duty, change, empty }: SetupReturn): string {
  if (outcome !== undefined) return `plan ${outcome.outcome} at ${outcome.version}`;
  if (duty !== undefined) return `duty of ${duty.holder} at ${duty.address} under ${duty.epoch}`;
  if (change !== undefined)
    return [`change ${change.outcome} at ${change.mark}`, ...change.findings.map(({ place, message }) => `${place}: ${message}`)].join(
      '; ',
    );
  return empty === undefined ? 'nothing' : `emptying ${empty}`;
}

function groupWords(group: readonly GroupMember[]): readonly string[] {
  return group.map(({ identity, isVoter }) => `${identity.name} ${identity.address} ${identity.memberId} ${isVoter ? 'votes' : 'follows'}`);
}

function batchesState(machine: LotShard): Record<string, unknown> {
  const batches = [...machine.lots].map(([id, { record }]) => {
    const { branch, service, bodyHash, repeatable, createdMs, endedMs, outputTokens, bytesPerToken, order, route, items } = record;
    const routeWords =
      route === undefined
        ? null
        : [
            ...[route.name, route.host, route.version, route.sentMs, route.dueMs ?? null, route.retainMs ?? null],
            ...[route.keepMs, route.tries],
          ].join(' ');
    return [
      id,
      {
        tenant: branch,
        service,
        hash: bodyHash,
        repeatable,
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
          tries: item.tries,
          failures: item.failures ?? 0,
          queuedAt: item.queuedAtMs,
          notBefore: item.notBeforeMs,
          tokens: item.tokens ?? null,
          input: item.input,
          heldBy: item.lease === undefined ? null : `${item.lease.front} ${item.lease.epoch}.${item.lease.number}`,
          request:
            item.task === undefined
              ? null
              : `${item.task.path} ${JSON.stringify(item.task.headers)} ${Buffer.from(item.task.body).toString('hex')}`,
        })),
      },
    ] as const;
  });
  const held = machine.openLeases().map(({ ref, started }) => `${ref.lot}#${ref.place} ${started ? 'started' : 'waits'}`);
  return { term: machine.epoch, batches: Object.fromEntries(batches), held: held.sort() };
}

function servicesState({ services }: ServiceShard): Record<string, unknown> {
  return mapped(services, ({ outputTokens = null, left }) => ({ tokens: outputTokens, ended: left }));
}

function setupState(machine: SetupShard): Record<string, unknown> {
  const { setup, seating } = machine;
  return {
    version: machine.version,
    number: setup?.mark ?? 0,
    serviceKinds: mapped(setup?.services ?? {}, ({ kind, replicas }) => `${kind} ${replicas.maxSlots}`),
    routeHosts: mapped(setup?.routes ?? {}, ({ host, prefix, kind }) => `${host} ${prefix} ${kind}`),
    shares: mapped(setup?.branches ?? {}, ({ share }) => share),
    confirmed: machine.history.map(
      ({ version, plan, atMs, differences }) => `${version} ${plan} ${atMs} ${differences.map(({ place }) => place).join(' ')}`,
    ),
    audited: machine.auditHead.entries,
    auditHash: machine.auditHead.hash,
    keys: machine.auditKeys.map((key) => key['kid']),
    duties: mapped(machine.duties, ({ holder, address, epoch }) => `${holder} ${address} ${epoch}`),
    bootstrapped: mapped(machine.founded, groupWords),
    placement: {
      version: seating.version,
      machines: mapped(seating.machines, ({ role, address, zone }) => `${role} ${address} ${zone}`),
      shards: seating.shards,
      emptying: seating.emptying,
    },
    table: machine.table().version,
    plans: Object.fromEntries(['a-1', 'a-2', 'a-3', 'b-1', 'b-2', 'b-3'].map((id) => [id, planWords(machine, id)])),
  };
}

function planWords(machine: SetupShard, id: string): string {
  const plan = machine.plan(v.parse(PlanId, id));
  if (plan === undefined) return 'unknown';
  const { outcome, base, madeMs, next, differences, effects } = plan;
  return [
    outcome === undefined ? `open for ${next?.mark}` : `${outcome.outcome} at ${outcome.version}`,
    `on ${base}`,
    `made ${madeMs}`,
    ...differences.map(({ place }) => place),
    ...effects.map(({ effect, needsAcknowledgement }) => `${effect}${needsAcknowledgement ? ' (to be acknowledged)' : ''}`),
  ].join('; ');
}

function mapped<V, T>(of: Readonly<Record<string, V>>, word: (value: V) => T): Record<string, T> {
  return Object.fromEntries(Object.entries(of).map(([name, value]) => [name, word(value)]));
}
