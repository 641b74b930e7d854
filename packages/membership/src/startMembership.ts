import type { BootSettings, Clock, Counters, Log, Transport } from '@pewterlanding/runtime';
import { Membership } from './membership.js';
import type { Role } from './state-table/role.js';

interface Ground {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly counters: Counters;
  readonly log: Log;
}

const watchers = 3;

/** A node's acquaintance as its boot describes it. */
export function startMembership(bootSettings: BootSettings, role: Role, ground: Ground): Membership {
  const { name, zone, listen, advertise, http, seeds, heartbeatMs, failureTimeoutMs } = bootSettings;
  const nodeRecord = { name, role, zone, address: advertise ?? listen, http };
  // The very list of seeds: a later settings file changes it in place.
  return new Membership({ ...ground, nodeRecord, seeds, bounds: { heartbeatMs, failureTimeoutMs, watchers } });
}
