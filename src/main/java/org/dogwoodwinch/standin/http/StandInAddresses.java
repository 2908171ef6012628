package org.dogwoodwinch.standin.http;

/**
 * Where the platform's stand-ins listen.
 *
 * @param logUrl the log
 * @param instanceListUrl the instance list
 * @param weightStoreUrl the weight store
 */
public record StandInAddresses(String logUrl, String instanceListUrl, String weightStoreUrl) {}
