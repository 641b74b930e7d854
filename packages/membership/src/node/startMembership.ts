import type { BootSettings, Clock, Counters, Log, Transport } from '@pewterlanding/runtime';
import { Membership } from './membership.js';
import type { Role } from '../state-table/index.js';

interface MembershipEnvironment {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly counters: Counters;
  readonly log: Log;
}

/** How many nodes watch each node. */
const watchers = 3;

/** Starts the membership of a node from its boot settings. */
export function startMembership(bootSettings: BootSettings, role: Role, environment: MembershipEnvironment): Membership {
  const { name, zone, listen, advertise, http, seeds, heartbeatMs, failureTimeoutMs } = bootSettings;
  const nodeRecord = { name, role, zone, address: advertise ?? listen, http };
  // The list of seeds is passed on as it is, not copied: a later configuration changes it in place.
  return new Membership({ ...environment, nodeRecord, seeds, bounds: { heartbeatMs, failureTimeoutMs, watchers } });
}
