#!/bin/sh
