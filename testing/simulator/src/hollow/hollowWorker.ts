import * as v from 'valibot';
import { Proposal } from '@pewterlanding/controller';
import { addressParts, PlanId } from '@pewterlanding/model';
import { errorLine } from '@pewterlanding/runtime';
import type { Address, NodeName } from '@pewterlanding/model';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { HarnessError } from '../errors/index.js';
import { HollowNode } from './hollowNode.js';
import type { HollowOptions } from './hollowOptions.js';
import { HollowRequest } from './hollowRequest.js';
import type { HollowPlace } from './hollowPlace.js';
import { hollowPlaces } from './hollowPlaces.js';
import { hollowConfiguration } from './hollowConfiguration.js';
import type { HollowResponse } from './hollowResponse.js';
import { monotonicMs } from './monotonicMs.js';
import { SocketMeter } from './socketMeter.js';

const Envelope = v.strictObject({ id: v.number(), order: HollowRequest });

const startGapMs = 40;
const meter = new SocketMeter();
const lag = monitorEventLoopDelay({ resolution: 10 });
lag.enable();
const nodes = new Map<NodeName, HollowNode>();
const arrivals = new Map<string, Record<string, number>>();
const counts = new Map<string, number>();
let places: readonly HollowPlace[] = [];
let here: HollowOptions | undefined;
let regionOf: ReadonlyMap<Address, number> = new Map();
let apart: ReadonlySet<number> = new Set();
let plans = 0;

function start(name: NodeName): HollowNode {
  const place = places.find((one) => one.name === name);
  if (place === undefined || here === undefined) throw new HarnessError(`no node ${name}`);
  const node = new HollowNode({
    place,
    options: here,
    seeds: places.filter((one) => one.role === 'controller').map((one) => one.address),
    passes: (to) => apart.has(place.region) === apart.has(regionOf.get(to) ?? place.region),
    sent: (call) => add(`${place.role} ${call}`),
    heard: ({ key, version }) => {
      if (key !== 'setup' && !key.startsWith('probe/')) return;
      const of = key === 'setup' ? `setup/${version[0]}` : key;
      const known = arrivals.get(of) ?? {};
      arrivals.set(of, known);
      known[name] ??= monotonicMs();
    },
  });
  nodes.set(name, node);
  return node;
}

function add(name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}

function kill(name: NodeName): void {
  nodes.get(name)?.kill();
  nodes.delete(name);
}

async function obey(order: HollowRequest): Promise<HollowResponse> {
  switch (order.kind) {
    case 'begin': {
      here = order.options;
      places = hollowPlaces(here.size, here.controllers, here.net);
      regionOf = new Map(places.map((one) => [one.address, one.region]));
      // One after the other, as machines start, for they share one loop here.
      for (const { name, worker } of places) {
        if (worker !== order.worker) continue;
        await start(name).ready();
        await new Promise((resolve) => setTimeout(resolve, startGapMs));
      }
      return {};
    }
    case 'start':
      await Promise.all(order.names.map((name) => start(name).ready()));
      return { atMs: monotonicMs() };
    case 'kill':
      for (const name of order.names) kill(name);
      return { atMs: monotonicMs() };
    case 'leave': {
      const atMs = monotonicMs();
      for (const name of order.names) nodes.get(name)?.membership.leave();
      return { atMs };
    }
    case 'put': {
      const atMs = monotonicMs();
      nodes.get(order.name)?.membership.put({ key: order.key, version: [1, 0], volatile: false, value: { atMs } });
      return { atMs };
    }
    case 'confirm':
      return confirm(order.outputTokens);
    case 'part':
      apart = new Set(order.regions);
      return { atMs: monotonicMs() };
    case 'view':
      return {
        atMs: monotonicMs(),
        views: [...nodes.values()].map(({ membership, place }) => ({
          name: place.name,
          live: membership.live().length,
          checksum: membership.stateTable.checksum,
          keys: [...membership.stateTable.withPrefix('')].length,
        })),
      };
    case 'meter':
      return measure();
    case 'arrivals':
      return { arrivals: arrivals.get(order.key) ?? {} };
  }
}

async function confirm(outputTokens: number): Promise<HollowResponse> {
  const operatorApi = [...nodes.values()].find((node) => node.operatorApi !== undefined)?.operatorApi;
  if (operatorApi === undefined) throw new HarnessError('no controller here');
  plans += 1;
  const id = v.parse(PlanId, `plan-${plans}`);
  const atMs = monotonicMs();
  const made = await operatorApi.plan(id, v.parse(Proposal, { whole: hollowConfiguration(places, outputTokens) }));
  if (made.plan === undefined) throw new HarnessError(made.findings.map((one) => `${one.place} ${one.message}`).join('; '));
  const { outcome, inForce } = await operatorApi.confirm(id, true);
  if (outcome.outcome !== 'confirmed' || !inForce) throw new HarnessError(`${outcome.outcome}, in force: ${String(inForce)}`);
  return { atMs, counts: { version: outcome.version, tookMs: monotonicMs() - atMs } };
}

function measure(): HollowResponse {
  const all = new Map(counts);
  const roles = new Map(places.map((one) => [addressParts(one.address).host, one.role]));
  for (const [host, tally] of meter.tally())
    for (const [what, bytes] of Object.entries(tally)) {
      const key = `${roles.get(host) ?? 'other'} bytes.${what}`;
      all.set(key, (all.get(key) ?? 0) + bytes);
    }
  for (const node of nodes.values())
    for (const what of [
      'membership.compared',
      'membership.digests',
      'membership.gone',
      'membership.refuted',
      'agent.askedFresh',
      'membership.changeUnknown',
    ]) {
      const key = `${node.place.role} counted.${what}`;
      all.set(key, (all.get(key) ?? 0) + node.counters.get(what));
    }
  const { user, system } = process.cpuUsage();
  const { rss, heapUsed } = process.memoryUsage();
  const lagMs = lag.percentile(99) / 1e6;
  lag.reset();
  return { counts: Object.fromEntries(all), cpuMs: (user + system) / 1000, rssMb: rss / 2 ** 20, heapMb: heapUsed / 2 ** 20, lagMs };
}

process.on('message', (message) => {
  const { id, order } = v.parse(Envelope, message);
  obey(order)
    .catch((error: unknown): HollowResponse => ({ failed: errorLine(error) }))
    .then((word) => process.send?.({ id, word }))
    .catch(() => process.exit(1));
});
process.on('disconnect', () => process.exit(0));
