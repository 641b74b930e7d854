'use strict';
// All replicas of one service are lost while lots for it wait; lots for another service come on the same host. See claim.txt.
const path = require('node:path');
const { Fleet, play, Operator, Replica, Record, call, sleep, until, hex, bounds } = require('../lib/fleet.cjs');

const isTroubled = process.env.TROUBLE !== '0';
const record = new Record(path.join(__dirname, 'record.txt'));
const host = 'ficu95.example';
const itemsOfLot = 20;
const route = (Label, PathPrefix, Plant) => ({
  Label,
  Host: host,
  PathPrefix,
  RouteKind: 'batch',
  CutoffMs: 6000,
  SetpointMs: 500,
  RunSetpointMs: 8000,
  RetainS: 40,
  BacklogCap: 1100000,
  Urgency: 2,
  Plant,
  Retries: 3,
});
const prefixes = { a: '/pule252/', b: '/lohu930/' };

async function main(fleet) {
  await fleet.start();
  const operator = new Operator(fleet);
  const limits = { HeaderBytes: 16384, BodyBytes: 4194304, HeaderMs: 3000, IdleMs: 15000 };
  const plant = (Label) => ({ Label, ProbePath: '/health', ConnLimit: 170, Protocol: 'h1', Tls: false });
  const channels = [route('r-a', prefixes.a, 'models-a'), route('r-b', prefixes.b, 'models-b')];
  const document = { Revision: 1, Channels: channels, Plants: [plant('models-a'), plant('models-b')], Limits: limits };
  const first = await operator.replace(document, 0);
  record.add(`first configuration: ${first?.status}`);
  if (first?.status !== 200) return 2;
  const replicas = [];
  for (const [index, service] of ['models-a', 'models-b', 'models-b'].entries()) {
    const run = (request, response) => replica.stream(request, response, 12, 10);
    const replica = new Replica({ fleet, record, plant: service, index, capacity: 8, run });
    replicas.push(replica);
    await replica.start();
  }
  const isReady = async (front) => (await call(fleet.readiness(front), { path: '/v1/ready' })).status === 200;
  if (!(await until(async () => (await Promise.all(fleet.fronts.map(isReady))).every((one) => one), 20_000))) return 2;
  await sleep(bounds.ContactMs + 1000);

  // Both services work.
  const usual = [await handIn(fleet, 'a'), await handIn(fleet, 'b')];
  const works = await until(async () => (await Promise.all(usual.map((lot) => isDone(fleet, lot)))).every((one) => one), 10_000);
  record.add(`a lot for each service is done: ${works}`);
  if (!works) return 2;

  if (isTroubled) {
    const [crashed] = replicas;
    await crashed.stop();
    record.add(`the one replica of models-a, ${crashed.id}, crashed for good`);
  }
  const waiting = await handIn(fleet, 'a');
  // Until its missing heartbeats are noticed, and for the contact time after that.
  await sleep(9000);
  const lots = [];
  for (let i = 0; i < 3; i += 1) {
    lots.push(await handIn(fleet, 'b'));
    await sleep(1000);
  }
  record.add('the traffic ends');
  if (lots.some((lot) => lot === undefined) || waiting === undefined) return 2;
  await sleep(bounds.FinishS * 1000 + 500);
  let broken = 0;
  for (const lot of lots) {
    await isDone(fleet, lot);
    const runs = replicas.flatMap((replica) => replica.runs).filter(({ id }) => lot.ids.includes(id)).length;
    const unlisted = itemsOfLot - lot.outcomes.length;
    record.add(
      `lot ${lot.id} for models-b: ${lot.outcomes.length} of ${itemsOfLot} listed, ${runs} runs at replicas, ${((Date.now() - lot.sentMs) / 1000).toFixed(1)} s after it was sent`,
    );
    // The rule asks that no replica has had an unlisted item of the lot in the last 5 s.
    const isHeld = replicas.some((replica) =>
      replica.runs.some(({ id, reachedMs }) => lot.ids.includes(id) && reachedMs > Date.now() - 5000),
    );
    if (unlisted > 0 && !isHeld) broken += unlisted;
  }
  const lastMs = Math.max(...replicas.flatMap((replica) => replica.runs).map(({ reachedMs }) => reachedMs));
  record.add(
    `the last run of any item began ${((Date.now() - lastMs) / 1000).toFixed(1)} s ago; items of models-b that nobody ran and nobody gave up: ${broken}`,
  );
  for (const replica of replicas.slice(isTroubled ? 1 : 0)) await replica.stop();
  return broken > 0 ? 1 : 0;
}

async function handIn(fleet, name) {
  const lot = { id: hex(), sentMs: Date.now(), outcomes: [] };
  lot.ids = Array.from({ length: itemsOfLot }, () => hex());
  const document = {
    Items: lot.ids.map((Id, i) => ({
      Id,
      Path: `${prefixes[name]}${i}`,
      Body: Buffer.from(`item ${i}`).toString('base64'),
      Tokens: 1200,
      Headers: { 'Pewterlanding-Model': 'm', 'Pewterlanding-Token-Count': '1000,200', 'Pewterlanding-Prompt-Prefix': `${hex(4)}:1000` },
    })),
  };
  let n = 0;
  const isAccepted = await until(async () => {
    n += 1;
    const answer = await call(fleet.front(fleet.fronts[n % fleet.fronts.length]), {
      method: 'POST',
      path: `${prefixes[name]}${lot.id}`,
      body: JSON.stringify(document),
      timeoutMs: 4000,
      headers: { Host: host, 'Pewterlanding-Request-Id': lot.id, 'Content-Type': 'application/json' },
    });
    return answer.status === 202;
  }, 8000);
  record.add(`lot ${lot.id} for models-${name}: accepted ${isAccepted}`);
  return isAccepted ? lot : undefined;
}

async function isDone(fleet, lot) {
  const page = await call(fleet.front(fleet.fronts[0]), {
    path: `/v1/lots/${lot.id}?StartAfter=${lot.outcomes.length}`,
    headers: { Host: host },
    timeoutMs: 2500,
  });
  if (page.status === 200) keep(lot.id, lot.outcomes, page);
  return lot.outcomes.length >= itemsOfLot;
}

function keep(lot, outcomes, page) {
  const { Outputs } = JSON.parse(page.text);
  for (const { Id, State } of Outputs) record.add(`read: ${Id} of lot ${lot} is ${State}`);
  outcomes.push(...Outputs);
}

play({ fleet: new Fleet({ fronts: 3, record }), record, main });
