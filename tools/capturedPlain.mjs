// States and returns of the build at commit db06e1c in plain words, which no renaming of fields and types reaches.

const returned = (back) => {
  if (back.outcome) return `plan ${back.outcome.outcome} at ${back.outcome.version}`;
  if (back.duty) return `duty of ${back.duty.holder} at ${back.duty.address} under ${back.duty.epoch}`;
  if (back.change) return [`change ${back.change.outcome} at ${back.change.mark}`, ...back.change.findings.map(({ place, message }) => `${place}: ${message}`)].join('; ');
  if (back.empty) return `emptying ${back.empty}`;
  if (back.done === undefined) return 'nothing';
  const words = [back.done ? 'done' : `refused: ${back.why}`];
  if (back.claimed) words.push(`claimed ${back.claimed.map(({ lot, place }) => `${lot}#${place}`).join(' ')}`);
  if (back.epoch !== undefined) words.push(`under ${back.epoch}`);
  return words.join(', ');
};

const group = (members) => members.map(({ identity, isVoter }) => `${identity.name} ${identity.address} ${identity.memberId} ${isVoter ? 'votes' : 'follows'}`);

const item = (one) => ({
  id: one.id,
  state: one.state,
  text: one.result ?? null,
  tries: one.tries,
  failures: one.failures ?? 0,
  queuedAt: one.queuedAtMs,
  notBefore: one.notBeforeMs,
  tokens: one.tokens ?? null,
  input: one.input,
  heldBy: one.lease === undefined ? null : `${one.lease.front} ${one.lease.epoch}.${one.lease.number}`,
  request: one.task === undefined ? null : `${one.task.path} ${JSON.stringify(one.task.headers)} ${Buffer.from(one.task.body).toString('hex')}`,
});

const batch = (record) => ({
  tenant: record.branch,
  service: record.service,
  hash: record.bodyHash,
  repeatable: record.repeatable,
  created: record.createdMs,
  ended: record.endedMs ?? null,
  outputTokens: record.outputTokens,
  bytesPerToken: record.bytesPerToken,
  finished: [...record.order],
  route: record.route === undefined ? null : [record.route.name, record.route.host, record.route.version, record.route.sentMs, record.route.dueMs ?? null, record.route.retainMs ?? null, record.route.keepMs, record.route.tries].join(' '),
  items: record.items.map(item),
});

const batches = (machine) => ({
  term: machine.epoch,
  batches: Object.fromEntries([...machine.lots].map(([id, lot]) => [id, batch(lot.record)])),
  held: machine.openLeases().map(({ ref, started }) => `${ref.lot}#${ref.place} ${started ? 'started' : 'waits'}`).sort(),
});

const services = (machine) => Object.fromEntries(Object.entries(machine.services).map(([name, known]) => [name, { tokens: known.outputTokens ?? null, ended: known.left }]));

const setup = (machine) => ({
  version: machine.version,
  number: machine.setup?.mark ?? 0,
  serviceKinds: Object.fromEntries(Object.entries(machine.setup?.services ?? {}).map(([name, one]) => [name, `${one.kind} ${one.replicas.maxSlots}`])),
  routeHosts: Object.fromEntries(Object.entries(machine.setup?.routes ?? {}).map(([name, one]) => [name, `${one.host} ${one.prefix} ${one.kind}`])),
  shares: Object.fromEntries(Object.entries(machine.setup?.branches ?? {}).map(([name, one]) => [name, one.share])),
  confirmed: machine.history.map(({ version, plan, atMs, differences }) => `${version} ${plan} ${atMs} ${differences.map(({ place }) => place).join(' ')}`),
  audited: machine.auditHead.entries,
  auditHash: machine.auditHead.hash,
  keys: machine.auditKeys.map((key) => key.kid),
  duties: Object.fromEntries(Object.entries(machine.duties).map(([name, { holder, address, epoch }]) => [name, `${holder} ${address} ${epoch}`])),
  bootstrapped: Object.fromEntries(Object.entries(machine.founded).map(([name, members]) => [name, group(members)])),
  placement: {
    version: machine.seating.version,
    machines: Object.fromEntries(Object.entries(machine.seating.machines).map(([name, { role, address, zone }]) => [name, `${role} ${address} ${zone}`])),
    shards: machine.seating.shards,
    emptying: machine.seating.emptying,
  },
  table: machine.table().version,
  plans: Object.fromEntries(
    ['a-1', 'a-2', 'a-3', 'b-1', 'b-2', 'b-3'].map((id) => {
      const plan = machine.plan(id);
      if (plan === undefined) return [id, 'unknown'];
      const effects = plan.effects.map(({ effect, needsAcknowledgement }) => `${effect}${needsAcknowledgement ? ' (to be acknowledged)' : ''}`);
      const outcome = plan.outcome === undefined ? `open for ${plan.next?.mark}` : `${plan.outcome.outcome} at ${plan.outcome.version}`;
      return [id, [outcome, `on ${plan.base}`, `made ${plan.madeMs}`, ...plan.differences.map(({ place }) => place), ...effects].join('; ')];
    }),
  ),
});

export const plain = { returned, group, batches, services, setup };
