'use strict';
// Replicas leave through one controller, whose machine is lost right after the last acknowledgement. See claim.txt.
const path = require('node:path');
const { Fleet, play, Operator, Replica, Record, call, sleep, until, hex, bounds } = require('../lib/fleet.cjs');

const isTroubled = process.env.TROUBLE !== '0';
const record = new Record(path.join(__dirname, 'record.txt'));
const leavers = 4;
/** The pages: a machine loses power within so many ms of its acknowledgement. */
const maxLossMs = 4;
const stayers = 4;
const route = {
  Label: 'r-a',
  Host: 'ficu95.example',
  PathPrefix: '/lohu930/',
  RouteKind: 'idempotent',
  CutoffMs: 2500,
  SetpointMs: 193,
  Urgency: 2,
  Plant: 'agenda',
  Retries: 2,
};

async function main(fleet) {
  await fleet.start();
  const operator = new Operator(fleet);
  const limits = { HeaderBytes: 16384, BodyBytes: 4194304, HeaderMs: 3000, IdleMs: 15000 };
  const plants = [{ Label: 'agenda', ProbePath: '/health', ConnLimit: 100, Protocol: 'h1', Tls: false }];
  const taken = await operator.replace({ Revision: 1, Channels: [route], Plants: plants, Limits: limits }, 0);
  record.add(`first configuration: ${taken?.status}`);
  if (taken?.status !== 200) return 2;
  const replicas = [];
  for (let i = 0; i < leavers + stayers; i += 1)
    replicas.push(new Replica({ fleet, record, plant: 'agenda', index: i, capacity: 2, workMs: 50 }));
  for (const replica of replicas) await replica.start();
  const isReady = async (front) => (await call(fleet.readiness(front), { path: '/v1/ready' })).status === 200;
  const allReady = await until(async () => (await Promise.all(fleet.fronts.map(isReady))).every((one) => one), 20_000);
  if (!allReady) return 2;
  let sent = 0;
  const traffic = setInterval(() => {
    for (let i = 0; i < 4; i += 1) void send(fleet, (sent += 1));
  }, 20);
  const allServe = await until(() => replicas.every(({ runs }) => runs.length > 0), 10_000);
  record.add(`all replicas serve: ${allServe}`);
  if (!allServe) return 2;

  // In touch: no machine was started for longer than the contact time.
  await sleep(bounds.ContactMs + 1500);

  // The controller through which they leave; the last beats of those that leave went to the others.
  const lost = fleet.cores[2];
  const gone = replicas.slice(0, leavers);
  for (const replica of gone) replica.stopBeats();
  for (const replica of gone) {
    replica.next = 0;
    await replica.beat();
  }
  const beatMs = Date.now();
  await sleep(300);
  const acks = await Promise.all(gone.map(async (replica) => ({ replica, ack: await replica.leave(lost) })));
  if (isTroubled) fleet.signal(lost, 'SIGKILL');
  const killedMs = Date.now();
  for (const { replica, ack } of acks)
    record.add(`${replica.id} at ${replica.host} leaves: acknowledged by ${ack?.core.name}, ${killedMs - ack.atMs} ms before the loss`);
  record.add(`last beats ${killedMs - beatMs} ms before the loss`);
  await sleep(9000);
  clearInterval(traffic);
  await sleep(500);

  // From the loss on the core is not settled for the contact time; requests that came before its end are excused.
  const settledMs = isTroubled ? killedMs + bounds.ContactMs + 100 : 0;
  let broken = 0;
  let judged = 0;
  for (const { replica, ack } of acks) {
    if (ack === undefined || ack.core !== lost) return 2;
    // The pages let a machine be lost within 4 ms of an acknowledgement: earlier ones are not judged.
    const isJudged = killedMs - ack.atMs <= maxLossMs;
    if (isJudged) judged += 1;
    const late = replica.runs.filter(({ reachedMs }) => reachedMs > ack.atMs + bounds.DrainMs + 100 && reachedMs > settledMs);
    const last = replica.runs.at(-1);
    record.add(
      `${replica.id}: ${replica.runs.length} requests, the last ${last.reachedMs - ack.atMs} ms after the acknowledgement; ${late.length} late and from fronts in touch`,
    );
    for (const run of late.slice(0, 5))
      record.add(`  late: ${run.id} ${run.path}, ${run.reachedMs - ack.atMs} ms after the acknowledgement`);
    if (isJudged) broken += late.length;
    else record.add(`  not judged: acknowledged more than ${maxLossMs} ms before the loss`);
  }
  record.add(`${sent} requests sent; late at replicas that had left: ${broken}`);
  for (const replica of replicas) await replica.stop();
  record.add(`${judged} of ${leavers} leaves judged`);
  if (judged === 0) return 2;
  return broken > 0 ? 1 : 0;
}

async function send(fleet, n) {
  const front = fleet.fronts[n % fleet.fronts.length];
  const id = hex();
  const answer = await call(fleet.front(front), {
    path: `/lohu930/${n}`,
    headers: { Host: route.Host, 'Pewterlanding-Request-Id': id, 'Pewterlanding-Deadline-Ms': '2500' },
    timeoutMs: 2600,
  });
  record.add(`request ${id} to ${front.name}: ${answer.status ?? answer.error}`);
}

play({ fleet: new Fleet({ fronts: 3, record }), record, main });
