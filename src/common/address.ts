// An address is an IP number and a port. Names are not looked up anywhere in the system.
import { isIP } from 'node:net';

export type Address = { readonly host: string; readonly port: number };

export const Address = {
  parse(text: string): Address | undefined {
    const cut = text.lastIndexOf(':');
    const host = text.slice(0, cut).replace(/^\[(.*)\]$/, '$1');
    const port = text.slice(cut + 1);
    if (cut < 1 || isIP(host) === 0 || !/^\d{1,5}$/.test(port) || Number(port) > 65535) return undefined;
    return { host, port: Number(port) };
  },
  checked: (text: string): Address => Address.parse(text)!,
  text: (address: Address): string =>
    isIP(address.host) === 6 ? `[${address.host}]:${address.port}` : `${address.host}:${address.port}`,
  origin: (address: Address): string => `http://${Address.text(address)}`,
};
