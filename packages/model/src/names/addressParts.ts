import type { Address } from './address.js';

/** Host (an IPv6 address without its brackets) and port of an address. */
export function addressParts(address: Address): { readonly host: string; readonly port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) };
}
