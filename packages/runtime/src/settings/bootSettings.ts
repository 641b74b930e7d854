import * as v from 'valibot';
import { Address, NodeName, ZoneName } from '@pewterlanding/model';

/** Settings of one process, from its boot file and flags; all else is in the fleet's configuration. */
export const BootSettings = v.strictObject({
  /** Name of the fleet; processes of another fleet are refused. */
  fleet: v.pipe(v.string(), v.minLength(1), v.maxLength(80)),
  /** Unique in the fleet; a machine keeps it over restarts. */
  name: NodeName,
  /** Availability zone of the machine. */
  zone: ZoneName,
  /** Address at which this process listens for others of the fleet. */
  listen: Address,
  /** Address at which others reach it, where that is a different one. */
  advertise: v.optional(Address),
  /** Address of its HTTP server for clients (proxy), operators (controller) or status (store). */
  http: v.optional(Address),
  /** Address of the other process on a proxy machine: the proxy's agent, or the agent's proxy. */
  beside: v.optional(Address),
  /** Addresses of the processes that it contacts first. */
  seeds: v.pipe(v.array(Address), v.minLength(1, 'at least one seed address'), v.maxLength(9)),
  /** Folder of all files of a controller or store. */
  dataFolder: v.optional(v.string()),
  /**
   * Whether the fleet starts for the first time, on empty disks. With false, a controller with an empty disk waits until it is added to
   * the group; left out, it may bootstrap one.
   */
  bootstrap: v.optional(v.boolean()),
  /** Period of heartbeats, the same in the whole fleet. Milliseconds, 250 by default. */
  heartbeatMs: v.optional(v.pipe(v.number(), v.minValue(10), v.maxValue(10_000)), 250),
  /** Time without a heartbeat after which a node is suspected, the same in the whole fleet. Milliseconds, 1000 by default. */
  failureTimeoutMs: v.optional(v.pipe(v.number(), v.minValue(50), v.maxValue(60_000)), 1000),
  /** Longest time of a graceful shutdown. Milliseconds, 6500 by default. */
  graceMs: v.optional(v.pipe(v.number(), v.minValue(0), v.maxValue(60_000)), 6500),
  logLevel: v.optional(v.picklist(['info', 'warn', 'error', 'silent']), 'info'),
});
export type BootSettings = v.InferOutput<typeof BootSettings>;
