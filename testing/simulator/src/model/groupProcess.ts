import { ShardHost } from '@pewterlanding/consensus';
import { Counters } from '@pewterlanding/runtime';
import type { Address, NodeName } from '@pewterlanding/model';
import type { Disk, Log } from '@pewterlanding/runtime';
import { SimClock } from '../engine/index.js';
import type { Instance, SimMachine, SimTime } from '../engine/index.js';
import { SimTransport } from '../network/index.js';
import type { SimNet } from '../network/index.js';
import { modelBounds } from './modelBounds.js';
import { tapTransport } from './tapTransport.js';

interface GroupProcessOptions {
  readonly name: NodeName;
  readonly address: Address;
  readonly instance: Instance;
  readonly machine: SimMachine;
  readonly time: SimTime;
  readonly net: SimNet;
  readonly openDisk: () => Disk;
  readonly log: Log;
  readonly fatal: () => void;
  readonly mintMemberId: () => string;
  /** Called with the term and the member id of every message that a leader sends. */
  readonly led: (term: number, memberId: string) => void;
}

const { failureTimeoutMs, compactBytes } = modelBounds;

/** Clock, transport and shard host of one process instance that is a member of a modelled group, over the simulated parts. */
export function groupProcess({ name, address, instance, machine, time, net, ...options }: GroupProcessOptions) {
  const clock = new SimClock(time, machine, instance);
  const counters = new Counters();
  const context = { clock, counters };
  const transport = tapTransport(new SimTransport({ ...context, here: address, machine, instance, net }), options.led);
  const disk = options.openDisk();
  const { log, fatal, mintMemberId } = options;
  const bounds = { failureTimeoutMs, compactBytes };
  const host = new ShardHost({ ...context, transport, disk, bounds, log, fatal, name, address, mintMemberId });
  return { clock, counters, transport, disk, host };
}
