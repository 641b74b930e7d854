import type { Address } from './address.js';

/** Host and port of an address, for listening and dialling. */
export function addressParts(address: Address): { readonly host: string; readonly port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) };
}
