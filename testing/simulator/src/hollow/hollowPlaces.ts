import * as v from 'valibot';
import { Address, NodeName, ZoneName } from '@pewterlanding/model';
import type { HollowPlace } from './hollowPlace.js';

/** Zones of each region. */
const regions = [3, 3, 2, 2];
const rackSize = 8;
const frontWorkers = 2;

/** Where each node of a fleet of this size stands: controllers first, then a twelfth of stores, then fronts. */
export function hollowPlaces(size: number, controllers: number, net: number): readonly HollowPlace[] {
  const zones = size < 20 ? 3 : 10;
  // Neighbours in the list stand in different regions, so that controllers do.
  const stride = zones === 10 ? 3 : 1;
  const stores = Math.ceil(size / 12);
  return Array.from({ length: size }, (_, position) => {
    const zone = (position * stride) % zones;
    const role = position < controllers ? 'controller' : position < controllers + stores ? 'store' : 'agent';
    const host = `127.${net}.${20 + Math.floor(position / 200)}.${(position % 200) + 1}`;
    return {
      name: v.parse(NodeName, `${role}-${position}`),
      role,
      zone: v.parse(ZoneName, `z${zone}`),
      region: zones === 3 ? zone : regionOf(zone),
      rack: `z${zone}-${Math.floor(Math.floor(position / zones) / rackSize)}`,
      address: v.parse(Address, `${host}:7000`),
      proxy: v.parse(Address, `${host}:7001`),
      worker: role === 'agent' ? 1 + (position % frontWorkers) : 0,
    };
  });
}

function regionOf(zone: number): number {
  let below = 0;
  for (const [region, zones] of regions.entries()) {
    below += zones;
    if (zone < below) return region;
  }
  return regions.length - 1;
}
