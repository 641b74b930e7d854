'use strict';
// Many lots come at once, so that some are finished only later than results are kept at least. See claim.txt.
const path = require('node:path');
const { Fleet, play, Operator, Replica, Record, call, sleep, until, hex } = require('../lib/fleet.cjs');

const isTroubled = process.env.TROUBLE !== '0';
const record = new Record(path.join(__dirname, 'record.txt'));
const host = 'ficu95.example';
const bounds = { StatusS: 40 };
const itemsOfLot = 5;
/** Lots a second, for so many seconds; the burst brings five times as many. */
const usualRate = 4;
const seconds = 4;
const burst = 5;
/** The whole script has 120 s. */
const endMs = Date.now() + 104_000;
const route = {
  Label: 'r-b',
  Host: host,
  PathPrefix: '/pule252/',
  RouteKind: 'batch',
  CutoffMs: 6000,
  SetpointMs: 500,
  RunSetpointMs: 8000,
  RetainS: 300,
  BacklogCap: 1100000,
  Urgency: 2,
  Plant: 'models',
  Retries: 3,
};

async function main(fleet) {
  await fleet.start();
  const operator = new Operator(fleet);
  const limits = { HeaderBytes: 16384, BodyBytes: 4194304, HeaderMs: 3000, IdleMs: 15000 };
  const plants = [{ Label: 'models', ProbePath: '/health', ConnLimit: 170, Protocol: 'h1', Tls: false }];
  const first = await operator.replace({ Revision: 1, Channels: [route], Plants: plants, Limits: limits }, 0);
  record.add(`first configuration: ${first?.status}`);
  if (first?.status !== 200) return 2;
  const replicas = [];
  for (let i = 0; i < 2; i += 1) {
    const replica = new Replica({
      fleet,
      record,
      plant: 'models',
      index: i,
      capacity: 4,
      run: (request, response) => replica.stream(request, response, 29, 50),
    });
    replicas.push(replica);
    await replica.start();
  }
  const isReady = async (front) => (await call(fleet.readiness(front), { path: '/v1/ready' })).status === 200;
  if (!(await until(async () => (await Promise.all(fleet.fronts.map(isReady))).every((one) => one), 20_000))) return 2;
  await sleep(3500);

  const total = usualRate * seconds * (isTroubled ? burst : 1);
  const lots = [];
  for (let i = 0; i < total; i += 1) {
    lots.push(handIn(fleet, i));
    await sleep((seconds * 1000) / total);
  }
  const read = await Promise.all(lots.map(async (accepted) => watch(fleet, await accepted)));
  for (const replica of replicas) await replica.stop();
  if (read.some((one) => one === 'unfit')) return 2;
  const broken = read.filter((one) => one === 'broken').length;
  const whole = read.filter((one) => one === 'whole').length;
  record.add(`${total} lots: ${whole} read whole and again, ${broken} gone, ${total - whole - broken} not finished when the test ended`);
  return broken > 0 ? 1 : 0;
}

/** Hands a lot in, at one front after another until it is accepted. */
async function handIn(fleet, n) {
  const lot = { id: hex(), sentMs: Date.now(), n };
  const document = {
    Items: Array.from({ length: itemsOfLot }, (_, i) => ({
      Id: hex(),
      Path: `/pule252/${n}-${i}`,
      Body: Buffer.from(`item ${n} ${i}`).toString('base64'),
      Tokens: 1200,
      Headers: { 'Pewterlanding-Model': 'm', 'Pewterlanding-Token-Count': '1000,200', 'Pewterlanding-Prompt-Prefix': `${hex(4)}:1000` },
    })),
  };
  lot.isAccepted = await until(async () => {
    const answer = await call(fleet.front(fleet.fronts[n % fleet.fronts.length]), {
      method: 'POST',
      path: `/pule252/${lot.id}`,
      body: JSON.stringify(document),
      timeoutMs: 4000,
      headers: { Host: host, 'Pewterlanding-Request-Id': lot.id, 'Content-Type': 'application/json' },
    });
    return answer.status === 202;
  }, 8000);
  lot.acceptedMs = Date.now();
  record.add(`lot ${n} ${lot.id}: accepted ${lot.isAccepted}`);
  return lot;
}

function readFrom(fleet, lot, position, n) {
  return call(fleet.front(fleet.fronts[n % fleet.fronts.length]), {
    path: `/v1/lots/${lot.id}?StartAfter=${position}`,
    headers: { Host: host },
    timeoutMs: 2500,
  });
}

/** Reads a lot twice a second until all its results have come, and then twice more from the start. */
async function watch(fleet, lot) {
  if (!lot.isAccepted) return 'unfit';
  const outcomes = [];
  const since = () => `${((Date.now() - lot.sentMs) / 1000).toFixed(1)} s after it was sent`;
  for (let reads = lot.n; outcomes.length < itemsOfLot; reads += 1) {
    if (Date.now() > endMs) return 'unfinished';
    await sleep(500);
    const page = await readFrom(fleet, lot, outcomes.length, reads);
    if (page.status === 200) keep(lot.id, outcomes, page);
    if (page.status === 404 || page.status === 410) {
      record.add(
        `lot ${lot.n} ${lot.id}: ${page.status} ${since()}; ${outcomes.length} of ${itemsOfLot} results had been read, the others never came`,
      );
      return 'broken';
    }
  }
  record.add(`lot ${lot.n} ${lot.id}: all ${itemsOfLot} results read ${since()}`);
  for (let again = 1; again <= 2; again += 1) {
    if (Date.now() > endMs) break;
    await sleep(1500);
    const page = await readFrom(fleet, lot, 0, lot.n + again);
    const isSame = page.status === 200 && JSON.stringify(JSON.parse(page.text).Outputs) === JSON.stringify(outcomes);
    if (isSame || page.status === 503 || page.error !== undefined) continue;
    record.add(`lot ${lot.n} ${lot.id}: read again from the start ${since()}: ${page.status}`);
    return 'broken';
  }
  return 'whole';
}

function keep(lot, outcomes, page) {
  const { Outputs } = JSON.parse(page.text);
  for (const { Id, State } of Outputs) record.add(`read: ${Id} of lot ${lot} is ${State}`);
  outcomes.push(...Outputs);
}

play({ fleet: new Fleet({ fronts: 3, record, bounds }), record, main });
